package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The tenant's limit, its traffic, and the planned stops.
const (
	tenantRate     = 20
	tenantBurst    = 120
	usualReadsPerS = 1
	hotReadsPerS   = 7
	limitNodes     = 12
	rolledNodes    = 3
	rollGap        = time.Second
	rollPeriod     = 3 * time.Second
	limitTime      = 52 * time.Second
	firstHot       = 20 * time.Second
	hotTime        = 6500 * time.Millisecond
	hotPeriod      = 12 * time.Second
	quotaWindow    = 5 * time.Second
	quotaOverage   = 0.1
	quotaSlack     = 20
	firstTokenTime = 2 * time.Second
)

// rolledLimit has the machines of one zone stopped and started in turn, and then one tenant send several times its usual.
func rolledLimit(l *lab) (bool, error) {
	if err := l.setCap(usageCap{Rate: tenantRate, Burst: tenantBurst}); err != nil {
		return false, err
	}
	var endpoints []*endpoint
	for i := range limitNodes {
		zone := "sofia-a"
		if i >= rolledNodes {
			zone = []string{"sofia-b", "sofia-c"}[i%2]
		}
		e, err := l.startPair(i, "history", zone, reads)
		if err != nil {
			return false, err
		}
		endpoints = append(endpoints, e)
	}
	if err := l.awaitAll(); err != nil {
		return false, err
	}
	time.Sleep(firstTokenTime)
	begin := time.Now()
	end := begin.Add(limitTime)
	var sending, rolling sync.WaitGroup
	var all []*traffic
	for _, n := range l.nodes {
		t := l.newTraffic(n)
		all = append(all, t)
		sending.Go(func() { t.runHot(begin, end, l.trouble) })
	}
	if l.trouble {
		for _, n := range l.nodes[:rolledNodes] {
			rolling.Go(func() { n.roll(end) })
			time.Sleep(rollGap)
		}
	}
	sending.Wait()
	rolling.Wait()
	return l.judgeLimit(all, endpoints), nil
}

// roll stops and starts the node once in each rollPeriod.
func (n *node) roll(end time.Time) {
	for next := time.Now(); next.Before(end); next = next.Add(rollPeriod) {
		time.Sleep(time.Until(next))
		n.signal(syscall.SIGTERM)
		if err := n.restart(restartPause); err != nil {
			n.lab.printf("%s: not started again: %v", n.Name, err)
			return
		}
	}
}

// runHot sends the usual traffic of the tenant, and with hot its high traffic in each hotPeriod from firstHot on.
func (t *traffic) runHot(begin, end time.Time, hot bool) {
	send := func(until time.Time, perSecond int) {
		t.run(until, perSecond, http.MethodGet, "history.example", "/history/", orderTimeout)
	}
	for at := begin.Add(firstHot); hot && at.Before(end); at = at.Add(hotPeriod) {
		send(at, usualReadsPerS)
		t.lab.printf("%s: the tenant sends %d instead of %d requests a second", t.node.Name, hotReadsPerS, usualReadsPerS)
		send(at.Add(hotTime), hotReadsPerS)
	}
	send(end, usualReadsPerS)
}

// judgeLimit reports whether more requests of the tenant than its limit allows were both sent and run in some window.
func (l *lab) judgeLimit(all []*traffic, endpoints []*endpoint) bool {
	var sent, ran []time.Time
	for _, t := range all {
		for id, at := range t.sent {
			for _, e := range endpoints {
				if runs := e.runs[id]; len(runs) > 0 {
					sent, ran = append(sent, at), append(ran, runs[0])
				}
			}
		}
	}
	most, from := 0, l.start
	for _, start := range sent {
		count := 0
		for i := range sent {
			if !sent[i].Before(start) && !ran[i].After(start.Add(quotaWindow)) {
				count++
			}
		}
		if count > most {
			most, from = count, start
		}
	}
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	l.printf("%d requests ran in the 5 s from %.3f on, allowed %.0f", most, from.Sub(l.start).Seconds(), allowed)
	return float64(most) > allowed
}
