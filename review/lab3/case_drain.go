package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of the cases with an upstream that leaves.
const (
	// drainBound is drain_ms of the settings.
	drainBound = 2 * time.Second
	// stayTime is the time for which the upstream still serves after the acknowledgement.
	stayTime = 8 * time.Second
	// settleTime exceeds stable_ms of the settings, and the time for which an acknowledgement must not be disturbed before it.
	settleTime = 8 * time.Second
)

// playDrain has callers send to all nodes while the disturbance strikes the first upstream, and that upstream leaves long after it.
func playDrain(l *lab, disturb func(u *upstream) error) (bool, string, error) {
	l.writeManifest(1, account{Name: "acme", Key: "k-acme"})
	if err := l.addNodes(3); err != nil {
		return false, "", err
	}
	if err := l.awaitReady("k-acme"); err != nil {
		return false, "", err
	}
	u := l.nodes[0].upstream
	if err := disturb(u); err != nil {
		return false, "", err
	}
	l.note("the disturbance is over")
	time.Sleep(settleTime)
	end := time.Now().Add(3*time.Second + stayTime)
	var sending sync.WaitGroup
	orders := make([][]result, len(l.nodes))
	for i, n := range l.nodes {
		sending.Go(func() { n.sendUntil(end, 50*time.Millisecond, "GET", "/read/x", "k-acme") })
		sending.Go(func() { orders[i] = n.sendUntil(end, 30*time.Millisecond, "POST", "/order/x", "") })
	}
	time.Sleep(2 * time.Second)
	ackAt, ok := u.drain(10)
	l.note("upstream %s: its leaving is acknowledged: %t", u.id, ok)
	time.Sleep(stayTime)
	u.stop()
	sending.Wait()
	lost := 0
	for _, rs := range orders {
		for _, r := range rs {
			if r.status != http.StatusOK && r.status != http.StatusServiceUnavailable && r.status != http.StatusTooManyRequests {
				lost++
			}
		}
	}
	before, late := 0, 0
	var last time.Duration
	for _, a := range u.runs() {
		switch {
		case a.at.Before(ackAt) || !ok:
			before++
		case a.at.After(ackAt.Add(drainBound)):
			late++
			last = a.at.Sub(ackAt)
		}
	}
	if before == 0 {
		return false, "", fmt.Errorf("no request ran at the upstream before it left")
	}
	if !ok {
		return false, "the leaving was never acknowledged", nil
	}
	return late > 0, fmt.Sprintf("%d requests ran at the upstream before its leaving was acknowledged, and %d arrived later than %v after that, the last %v after it; %d orders had neither an answer of an upstream nor a refusal as not run", before, late, drainBound, last.Round(time.Millisecond), lost), nil
}

// foreignLead is the lead of the other writer's sequence over the upstream's own.
const foreignLead = 1_000_000

// playForeignHeartbeat has another writer send one heartbeat without version, zone and warm-up.
func playForeignHeartbeat(l *lab, trouble bool) (bool, string, error) {
	return playDrain(l, func(u *upstream) error {
		time.Sleep(2 * time.Second)
		if !trouble {
			return nil
		}
		u.mu.Lock()
		body := fill("foreign_heartbeat.txt", struct {
			Address  string
			Sequence int
			Born     int64
		}{u.address(), u.sequence + foreignLead, u.born.UnixMilli()})
		u.mu.Unlock()
		l.note("another writer sends a heartbeat with missing fields")
		u.post("heartbeat", body)
		return nil
	})
}
