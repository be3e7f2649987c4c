package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Times of the case: the machine's time of day is ahead when the endpoint starts and then jumps back, and the endpoint crashes once and starts again.
const (
	clockJump   = 2400 * time.Millisecond
	crashAfter  = 500 * time.Millisecond
	downTime    = 500 * time.Millisecond
	serveTime   = 4 * time.Second
	drainBound  = 2 * time.Second
	exitAfter   = 6 * time.Second
	clockLength = serveTime + exitAfter + time.Second
)

// playClock has an endpoint that started while its machine's clock was ahead crash, start again and, much later, drain.
func playClock(l *lab, trouble bool) (bool, error) {
	if err := l.write(manifest{version: 1, service: "shop", timeoutMS: 5000}); err != nil {
		return false, err
	}
	opts := endpointOptions{slots: 55, work: 300 * time.Millisecond}
	first := opts
	if trouble {
		first.clockAhead = clockJump
		l.note("the time of day of the first machine is %v ahead", clockJump)
	}
	for i, zone := range []string{"sofia-a", "sofia-b", "sofia-c"} {
		o := opts
		if i == 0 {
			o = first
		}
		if err := l.addMachine("shop", zone, o); err != nil {
			return false, err
		}
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(crashAfter)
	if trouble {
		l.note("the time of day of the first machine jumps back")
	}
	e := l.machines[0].endpoint
	e.crash()
	time.Sleep(downTime)
	if err := e.restart(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	t := newTraffic(l, "")
	ctx, cancel := context.WithTimeout(l.ctx, clockLength)
	defer cancel()
	var sending sync.WaitGroup
	for _, x := range l.machines {
		sending.Go(func() { t.sendTo(ctx, x, clockInterval) })
	}
	time.Sleep(serveTime)
	acknowledged := e.drain(ctx)
	time.Sleep(exitAfter)
	if err := e.deregister(); err != nil {
		return false, err
	}
	e.crash()
	sending.Wait()
	return checkClock(l, e, acknowledged), nil
}

// clockInterval is the interval between two requests to one node.
const clockInterval = 20 * time.Millisecond

// checkClock looks for requests that reached the endpoint later than drain_ms after the acknowledgement.
func checkClock(l *lab, e *endpoint, acknowledged time.Duration) bool {
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
