package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	clientKey      = "6wsjnbanfqasnmgkcuyj"
	idleConns      = 256
	readinessPause = time.Second
)

// traffic sends requests at a steady rate to one node, as the clients on its machine do.
type traffic struct {
	lab    *lab
	node   *node
	client *http.Client

	mu      sync.Mutex
	ready   bool
	count   int
	answers map[string]int
	sent    map[string]time.Time
	running sync.WaitGroup
}

func (l *lab) newTraffic(n *node) *traffic {
	return &traffic{
		lab:     l,
		node:    n,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}},
		ready:   true,
		answers: map[string]int{},
		sent:    map[string]time.Time{},
	}
}

// watchReadiness asks the node once a second whether it is ready; clients send nothing after two misses.
func (t *traffic) watchReadiness(end time.Time) {
	misses := 0
	for time.Now().Before(end) {
		misses++
		if t.node.isReady() {
			misses = 0
		}
		t.mu.Lock()
		t.ready = misses < 2
		t.mu.Unlock()
		time.Sleep(readinessPause)
	}
}

// isReady reports whether the platform lets clients send to the node.
func (t *traffic) isReady() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ready
}

// run sends requests until the end, and returns once all are answered.
func (t *traffic) run(end time.Time, perSecond int, method, host, path string, timeout time.Duration) {
	go t.watchReadiness(end)
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for time.Now().Before(end) {
		<-tick.C
		t.mu.Lock()
		t.count++
		id := fmt.Sprintf("%s-%06d", t.node.Name, t.count)
		ready := t.ready
		t.mu.Unlock()
		if !ready {
			continue
		}
		t.running.Add(1)
		go t.send(id, method, host, path, timeout)
	}
	t.running.Wait()
}

func (t *traffic) send(id, method, host, path string, timeout time.Duration) {
	defer t.running.Done()
	t.mu.Lock()
	t.sent[id] = time.Now()
	t.mu.Unlock()
	status, err := t.exchange(id, method, host, path, timeout)
	t.mu.Lock()
	t.answers[id] = status
	t.mu.Unlock()
	t.lab.printf("%s: sent at %.3f, answer %d, error %v", id, t.sentAt(id).Sub(t.lab.start).Seconds(), status, err)
}

func (t *traffic) sentAt(id string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent[id]
}

func (t *traffic) exchange(id, method, host, path string, timeout time.Duration) (int, error) {
	var body io.Reader = http.NoBody
	if method != http.MethodGet {
		body = io.NopCloser(bytes.NewReader([]byte("order " + id)))
	}
	r, err := http.NewRequestWithContext(background(), method, "http://"+t.node.outbound()+path+id, body)
	if err != nil {
		return 0, err
	}
	if method != http.MethodGet {
		r.ContentLength = int64(len("order " + id))
	}
	r.Host = host
	r.Header.Set(t.lab.names.RequestID, id)
	r.Header.Set(t.lab.names.Deadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+clientKey)
	resp, err := t.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
