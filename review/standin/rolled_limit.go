package main

import (
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The tenant's limit, its traffic, and the planned stops.
const (
	tenantRate     = 20
	tenantBurst    = 80
	hotReadsPerS   = 12
	limitNodes     = 8
	rolledNodes    = 3
	rollGap        = time.Second
	rollTime       = 45 * time.Second
	quotaWindow    = 5 * time.Second
	quotaOverage   = 0.1
	quotaSlack     = 20
	firstTokenTime = 2 * time.Second
)

// rolledLimit has one tenant send several times its limit while three of eight machines are stopped and started in turn.
func rolledLimit(l *lab) (bool, error) {
	if err := l.setCap(usageCap{Rate: tenantRate, Burst: tenantBurst}); err != nil {
		return false, err
	}
	zones := []string{"sofia-a", "sofia-b", "sofia-c"}
	var endpoints []*endpoint
	for i := range limitNodes {
		e, err := l.startPair(i, "history", zones[i%len(zones)], reads)
		if err != nil {
			return false, err
		}
		endpoints = append(endpoints, e)
	}
	if err := l.awaitAll(); err != nil {
		return false, err
	}
	time.Sleep(firstTokenTime)
	end := time.Now().Add(rollTime)
	var sending sync.WaitGroup
	var rolling [rolledNodes]sync.WaitGroup
	for _, n := range l.nodes {
		t := l.newTraffic(n)
		sending.Go(func() { t.run(end, hotReadsPerS, http.MethodGet, "history.example", "/history/", orderTimeout) })
	}
	for i := 0; l.trouble && time.Now().Before(end); i++ {
		n := l.nodes[i%rolledNodes]
		rolling[i%rolledNodes].Wait()
		rolling[i%rolledNodes].Go(func() {
			n.signal(syscall.SIGTERM)
			if err := n.restart(restartPause); err != nil {
				l.printf("%s: not started again: %v", n.Name, err)
			}
		})
		time.Sleep(rollGap)
	}
	sending.Wait()
	for i := range rolling {
		rolling[i].Wait()
	}
	return l.judgeLimit(endpoints), nil
}

// judgeLimit reports whether more requests of the tenant ran in some window than its limit allows.
func (l *lab) judgeLimit(endpoints []*endpoint) bool {
	var starts []time.Time
	for _, e := range endpoints {
		for _, runs := range e.runs {
			starts = append(starts, runs...)
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	most, at, first := 0, time.Time{}, 0
	for i, t := range starts {
		for t.Sub(starts[first]) > quotaWindow {
			first++
		}
		if n := i + 1 - first; n > most {
			most, at = n, starts[first]
		}
	}
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	l.printf("%d requests ran in the 5 s from %.3f on, allowed %.0f", most, at.Sub(l.start).Seconds(), allowed)
	return float64(most) > allowed
}
