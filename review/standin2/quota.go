package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The tenant's limit, and the bounds of the settings for it.
const (
	quotaRate    = 100.0
	quotaBurst   = 200.0
	loweredBurst = 17.0
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20.0
)

// Times of the case: the tenant begins with a full bucket, and the lower burst is in force for two seconds.
const (
	settleTime  = 12 * time.Second
	lowerAfter  = 300 * time.Millisecond
	raiseAfter  = 2900 * time.Millisecond
	quotaLength = 8 * time.Second
	// sendInterval is the interval between two requests of the tenant to one node.
	sendInterval = 4 * time.Millisecond
)

// playQuota lowers a tenant's burst and puts it back while the tenant asks for more than its limit.
func playQuota(l *lab, trouble bool) (bool, error) {
	m := manifest{version: 1, service: "history", timeoutMS: 5000, tenant: "grower", keys: []string{"key-of-grower"}, rate: quotaRate, burst: quotaBurst}
	if err := l.write(m); err != nil {
		return false, err
	}
	for _, zone := range []string{"sofia-a", "sofia-b", "sofia-c"} {
		if err := l.addMachine("history", zone, endpointOptions{slots: 55, work: 20 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	t := newTraffic(l, m.keys[0])
	ctx, cancel := context.WithTimeout(l.ctx, quotaLength)
	defer cancel()
	var sending sync.WaitGroup
	for _, x := range l.machines {
		sending.Go(func() { t.sendTo(ctx, x, sendInterval) })
	}
	if trouble {
		time.Sleep(lowerAfter)
		m.version, m.burst = 3, loweredBurst
		if err := l.write(m); err != nil {
			return false, err
		}
		time.Sleep(raiseAfter - lowerAfter)
		m.version, m.burst = 6, quotaBurst
		if err := l.write(m); err != nil {
			return false, err
		}
	}
	sending.Wait()
	return t.check(quotaRate, quotaBurst), nil
}

// traffic is the requests of one tenant.
type traffic struct {
	lab    *lab
	key    string
	client *http.Client
	// label begins the ids of the requests.
	label string

	mu      sync.Mutex
	count   int
	sent    map[string]time.Duration
	answers map[int]int
}

func newTraffic(l *lab, key string) *traffic {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: 6 * time.Second}
	return &traffic{lab: l, key: key, client: client, label: "0000", sent: map[string]time.Duration{}, answers: map[int]int{}}
}

// sendTo sends requests to one node at a fixed rate until the context ends, and waits for their answers.
func (t *traffic) sendTo(ctx context.Context, m *machine, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			requests.Go(func() { t.send(m) })
		}
	}
}

func (t *traffic) send(m *machine) {
	t.mu.Lock()
	t.count++
	id := fmt.Sprintf("%s%012x", t.label, t.count)
	t.mu.Unlock()
	r, err := http.NewRequest(http.MethodGet, "http://"+m.outbound+prefix+"chart", http.NoBody)
	if err != nil {
		return
	}
	r.Host = host
	r.Header.Set(names["request"], id)
	r.Header.Set(names["deadline"], "5000")
	if t.key != "" {
		r.Header.Set("Authorization", "Bearer "+t.key)
	}
	sent := t.lab.now()
	t.mu.Lock()
	t.sent[id] = sent
	t.mu.Unlock()
	resp, err := t.client.Do(r)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	t.lab.noteAt(sent, "request %s sent to %s, answered %d at %.3f", id, m.name, status, t.lab.now().Seconds())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers[status]++
}

// check finds the window in which most requests were both sent and run, and compares it with the highest limit that may be in force.
func (t *traffic) check(limitRate, limitBurst float64) bool {
	type run struct{ sent, began time.Duration }
	var runs []run
	for _, m := range t.lab.machines {
		for _, x := range m.endpoint.snapshot() {
			t.lab.noteAt(x.began, "request %s of tenant %q runs at %s", x.id, x.tenant, m.endpoint.id)
			runs = append(runs, run{sent: t.sent[x.id], began: x.began})
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].sent < runs[j].sent })
	most, from := 0, time.Duration(0)
	for _, first := range runs {
		n := 0
		for _, r := range runs {
			if r.sent >= first.sent && r.began <= first.sent+quotaWindow {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	allowed := (limitRate*quotaWindow.Seconds()+limitBurst)*(1+quotaOverage) + quotaSlack
	for status, n := range t.answers {
		t.lab.note("answers %s: %d", strconv.Itoa(status), n)
	}
	t.lab.note("most requests of the tenant sent and run in 5 s: %d, from %.3f on; allowed %.0f", most, from.Seconds(), allowed)
	fmt.Printf("sent and run in 5 s: %d, allowed %.0f\n", most, allowed)
	return float64(most) <= allowed
}
