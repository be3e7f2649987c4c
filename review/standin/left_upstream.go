package main

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pomeloworks/pomelo/platform/fake"
)

// Times of the cases, from the moment at which the store goes down.
const (
	readWork      = 20 * time.Millisecond
	readsPerS     = 10
	leaveBefore   = 500 * time.Millisecond
	killAt        = 1500 * time.Millisecond
	leaveAfter    = 2200 * time.Millisecond
	restartPause  = 500 * time.Millisecond
	outageTime    = 3 * time.Second
	leaveEarlier  = 1500 * time.Millisecond
	copyAge       = 2500 * time.Millisecond
	absence       = 700 * time.Millisecond
	serveOn       = 12 * time.Second
	stableTime    = 3 * time.Second
	drainTime     = 2 * time.Second
	calmBefore    = 5 * time.Second
	judgingMargin = 500 * time.Millisecond
)

// reads is the behaviour of an endpoint that runs each request for readWork.
func reads(e *endpoint, c net.Conn) {
	r := bufio.NewReader(c)
	for {
		q, err := readRequest(r)
		if err != nil {
			return
		}
		if e.isHealthCheck(c, q) || e.isOther(c, q) {
			continue
		}
		id := q.Header.Get(e.lab.names.RequestID)
		e.begin(id)
		time.Sleep(readWork)
		if _, err := c.Write(e.answer(id, http.StatusOK, "", []byte("read "+id))); err != nil {
			return
		}
	}
}

// leaveBeforeKill has one of two endpoints leave while the store is down; all nodes are killed and started again afterwards.
func leaveBeforeKill(l *lab) (bool, error) {
	return leaveInOutage(l, outage{leaveAt: leaveBefore, killAt: killAt, killAll: true, time: outageTime})
}

// leaveBeforeReturn has the endpoint leave before the store returns from an older copy; its node is killed and started again meanwhile.
func leaveBeforeReturn(l *lab) (bool, error) {
	return leaveInOutage(l, outage{leaveAt: -leaveEarlier, killAt: 0, time: absence, copyAge: copyAge})
}

// leaveAfterKill has the endpoint leave right after its node was killed and started again while the store is down.
func leaveAfterKill(l *lab) (bool, error) {
	return leaveInOutage(l, outage{leaveAt: leaveAfter, killAt: killAt, time: outageTime})
}

// outage is the time for which the store is down and what happens around it; its times count from the moment at which the store goes down.
type outage struct {
	leaveAt time.Duration
	killAt  time.Duration
	killAll bool
	time    time.Duration
	// copyAge is the age of the copy from which the store returns, or 0 if it loses nothing.
	copyAge time.Duration
}

func leaveInOutage(l *lab, o outage) (bool, error) {
	var endpoints []*endpoint
	for i, zone := range []string{"sofia-a", "sofia-b"} {
		e, err := l.startPair(i, "history", zone, reads)
		if err != nil {
			return false, err
		}
		endpoints = append(endpoints, e)
	}
	if err := l.awaitAll(); err != nil {
		return false, err
	}
	left := endpoints[0]
	var sending, troubling sync.WaitGroup
	downAt := time.Now().Add(calmBefore)
	leaveAt := downAt.Add(o.leaveAt)
	end := leaveAt.Add(serveOn)
	for _, n := range l.nodes {
		t := l.newTraffic(n)
		sending.Go(func() { t.run(end, readsPerS, http.MethodGet, "history.example", "/history/", orderTimeout) })
	}
	if l.trouble {
		troubling.Go(func() { l.bringDown(downAt, o) })
		troubling.Go(func() { l.killNodes(downAt.Add(o.killAt), o.killAll) })
	}
	time.Sleep(time.Until(leaveAt))
	if !left.leave() {
		return false, errors.New("the node did not acknowledge the deregistration")
	}
	acknowledgedAt := time.Now()
	time.AfterFunc(serveOn, left.end)
	sending.Wait()
	troubling.Wait()
	from := acknowledgedAt.Add(drainTime)
	if l.trouble {
		// The nodes are in touch once the store and their processes have been undisturbed for stableTime.
		from = downAt.Add(o.time + stableTime + judgingMargin)
	}
	return l.judgeLeft(left, acknowledgedAt, from), nil
}

// bringDown has the store away for the time of the outage, and return from a copy if it has an age.
func (l *lab) bringDown(at time.Time, o outage) {
	time.Sleep(time.Until(at.Add(-o.copyAge)))
	saved := l.store.Backup()
	time.Sleep(time.Until(at))
	l.printf("the store is down")
	l.store.SetFault(storeCaller, fake.Fault{Status: http.StatusServiceUnavailable})
	time.Sleep(o.time)
	if o.copyAge > 0 {
		l.store.Restore(saved)
		l.printf("the store returns from a copy that is %v old", o.copyAge+o.time)
	}
	l.store.SetFault(storeCaller, fake.Fault{})
	l.printf("the store is back")
}

// killNodes kills the first node, or all of them, and starts them again.
func (l *lab) killNodes(at time.Time, all bool) {
	time.Sleep(time.Until(at))
	killed := l.nodes[:1]
	if all {
		killed = l.nodes
	}
	var restarting sync.WaitGroup
	for _, n := range killed {
		restarting.Go(func() {
			n.kill()
			if err := n.restart(restartPause); err != nil {
				l.printf("%s: not started again: %v", n.Name, err)
			}
		})
	}
	restarting.Wait()
}

// judgeLeft reports whether the endpoint that has left got requests later than allowed, from nodes that were in touch again.
func (l *lab) judgeLeft(e *endpoint, acknowledgedAt, from time.Time) bool {
	late := 0
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, runs := range e.runs {
		for _, at := range runs {
			if at.After(from) {
				late++
				l.printf("DRAIN: %s reached %s at %.3f, %.3f s after the acknowledgement", id, e.ID, at.Sub(l.start).Seconds(), at.Sub(acknowledgedAt).Seconds())
			}
		}
	}
	l.printf("requests that reached the endpoint later than allowed: %d", late)
	return late > 0
}
