package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Times of the cases in which an endpoint drains; drainInterval is the interval between two requests to one node.
const (
	serveTime     = 4 * time.Second
	drainBound    = 2 * time.Second
	exitAfter     = 6 * time.Second
	drainLength   = serveTime + exitAfter + time.Second
	drainInterval = 20 * time.Millisecond
)

// drainFirst sends requests to all nodes while the first endpoint drains and exits, and reports whether the rule held.
func drainFirst(l *lab) (bool, error) {
	e := l.machines[0].endpoint
	t := newTraffic(l, "")
	ctx, cancel := context.WithTimeout(l.ctx, drainLength)
	defer cancel()
	var sending sync.WaitGroup
	for _, x := range l.machines {
		sending.Go(func() { t.sendTo(ctx, x, drainInterval) })
	}
	time.Sleep(serveTime)
	acknowledged := e.drain(ctx)
	time.Sleep(exitAfter)
	if err := e.deregister(); err != nil {
		return false, err
	}
	e.crash()
	sending.Wait()
	return checkDrain(l, e, acknowledged), nil
}

// checkDrain looks for requests that reached the endpoint later than drain_ms after the acknowledgement.
func checkDrain(l *lab, e *endpoint, acknowledged time.Duration) bool {
	late, cut := 0, 0
	for _, x := range e.snapshot() {
		l.noteAt(x.began, "request %s runs at %s until %.3f, dropped: %t", x.id, e.id, x.ended.Seconds(), x.dropped)
		if x.began > acknowledged+drainBound {
			late++
		}
		if x.dropped && x.began > acknowledged {
			cut++
		}
	}
	l.note("requests that reached %s later than 2 s after the acknowledgement: %d; cut when it ended: %d", e.id, late, cut)
	fmt.Printf("late at the draining endpoint: %d, cut at its end: %d\n", late, cut)
	return late == 0
}
