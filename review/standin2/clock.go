package main

import "time"

// Times of the case: the machine's time of day is ahead when the endpoint starts and then jumps back, and the endpoint crashes once and starts again.
const (
	clockJump  = 2400 * time.Millisecond
	crashAfter = 500 * time.Millisecond
	downTime   = 500 * time.Millisecond
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
	// A fourth machine, of another service: one machine of four is a share of 0.25.
	if err := l.addMachine("history", "sofia-a", opts); err != nil {
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
	return drainFirst(l)
}
