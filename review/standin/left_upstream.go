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
	return leaveInOutage(l, leaveBefore, true)
}

// leaveAfterKill has the endpoint leave right after its node was killed and started again while the store is down.
func leaveAfterKill(l *lab) (bool, error) {
	return leaveInOutage(l, leaveAfter, false)
}

func leaveInOutage(l *lab, leaveAt time.Duration, killAll bool) (bool, error) {
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
	var sending sync.WaitGroup
	end := time.Now().Add(calmBefore + leaveAt + serveOn)
	for _, n := range l.nodes {
		t := l.newTraffic(n)
		sending.Go(func() { t.run(end, readsPerS, http.MethodGet, "history.example", "/history/", orderTimeout) })
	}
	time.Sleep(calmBefore)
	var restarting sync.WaitGroup
	if l.trouble {
		l.printf("the store is down")
		l.store.SetFault(storeCaller, fake.Fault{Status: http.StatusServiceUnavailable})
		time.AfterFunc(outageTime, func() {
			l.store.SetFault(storeCaller, fake.Fault{})
			l.printf("the store is back")
		})
		killed := l.nodes[:1]
		if killAll {
			killed = l.nodes
		}
		restarting.Add(len(killed))
		time.AfterFunc(killAt, func() {
			for _, n := range killed {
				go func() {
					defer restarting.Done()
					n.kill()
					if err := n.restart(restartPause); err != nil {
						l.printf("%s: not started again: %v", n.Name, err)
					}
				}()
			}
		})
	}
	time.Sleep(leaveAt)
	left := endpoints[0]
	if !left.leave() {
		return false, errors.New("the node did not acknowledge the deregistration")
	}
	acknowledgedAt := time.Now()
	time.AfterFunc(serveOn, left.end)
	sending.Wait()
	restarting.Wait()
	return l.judgeLeft(left, acknowledgedAt, outageTime-leaveAt), nil
}

// judgeLeft reports whether the endpoint that has left got requests later than allowed, from nodes that were in touch again.
func (l *lab) judgeLeft(e *endpoint, acknowledgedAt time.Time, outageLeft time.Duration) bool {
	from := acknowledgedAt.Add(drainTime)
	if l.trouble {
		// The nodes are in touch once the store and their processes have been undisturbed for stableTime.
		from = acknowledgedAt.Add(outageLeft + stableTime + judgingMargin)
	}
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
