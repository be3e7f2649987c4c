package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	revokeBound    = 5 * time.Second
	revokeLength   = 12 * time.Second
	revokeInterval = 100 * time.Millisecond
)

// playRevoke takes a key away with the manifest that splits the route's requests, by weights that are fractions or percentages.
func playRevoke(l *lab, trouble bool) (bool, error) {
	m := manifest{version: 1, service: "history", timeoutMS: 5000, tenant: "grower", keys: []string{"key-kept", "key-taken-away"}, rate: 500, burst: 500}
	if err := l.write(m); err != nil {
		return false, err
	}
	for i, zone := range []string{"sofia-a", "sofia-b", "sofia-c", "sofia-a"} {
		service := "history"
		if i == 3 {
			service = "sensors"
		}
		if err := l.addMachine(service, zone, endpointOptions{slots: 55, work: 20 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	m.version, m.second, m.keys = 4, "sensors", m.keys[:1]
	m.weights = []float64{90, 10}
	if trouble {
		m.weights = []float64{0.9, 0.1}
	}
	kept, taken := newTraffic(l, "key-kept"), newTraffic(l, "key-taken-away")
	kept.label, taken.label = "aaaa", "bbbb"
	ctx, cancel := context.WithTimeout(l.ctx, revokeLength)
	defer cancel()
	var sending sync.WaitGroup
	for _, x := range l.machines {
		sending.Go(func() { kept.sendTo(ctx, x, revokeInterval) })
		sending.Go(func() { taken.sendTo(ctx, x, revokeInterval) })
	}
	time.Sleep(time.Second)
	if err := l.write(m); err != nil {
		return false, err
	}
	acknowledged := l.now()
	sending.Wait()
	return checkRevoke(l, taken, acknowledged), nil
}

// checkRevoke looks for requests with the key that were sent later than revoke_ms after the acknowledgement, and ran.
func checkRevoke(l *lab, taken *traffic, acknowledged time.Duration) bool {
	late, run := 0, 0
	for _, m := range l.machines {
		for _, x := range m.endpoint.snapshot() {
			l.noteAt(x.began, "request %s of tenant %q runs at %s", x.id, x.tenant, m.endpoint.id)
			sent, ok := taken.sent[x.id]
			if !ok {
				continue
			}
			run++
			if sent > acknowledged+revokeBound {
				late++
			}
		}
	}
	l.note("requests with the key that was taken away: %d ran, %d of them sent later than 5 s after the acknowledgement", run, late)
	fmt.Printf("ran with the key: %d, sent later than 5 s after its end: %d\n", run, late)
	return late == 0
}
