package main

import (
	"context"
	"sync"
	"time"
)

// The tenant's limit, and the times of the case.
const (
	rollRate     = 40.0
	rollBurst    = 100.0
	rollInterval = 20 * time.Millisecond
	// rollTime is the time for which nodes are restarted in turn before the tenant begins.
	rollTime   = 45 * time.Second
	rollLength = 12 * time.Second
	// rollPause is the time from one node's start to the stop of the next.
	rollPause = time.Second
	// stableNodes are not restarted.
	stableNodes = 5
)

// playRoll has two nodes of another service stopped and started in turn while a tenant asks for more than its limit.
func playRoll(l *lab, trouble bool) (bool, error) {
	m := manifest{version: 1, service: "history", timeoutMS: 5000, tenant: "grower", keys: []string{"key-of-grower"}, rate: rollRate, burst: rollBurst}
	if err := l.write(m); err != nil {
		return false, err
	}
	for i, zone := range []string{"sofia-a", "sofia-b", "sofia-c", "sofia-a", "sofia-b", "sofia-c", "sofia-a"} {
		service := "history"
		if i >= stableNodes {
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
	ctx, cancel := context.WithTimeout(l.ctx, rollTime+rollLength)
	defer cancel()
	var rolling, sending sync.WaitGroup
	defer rolling.Wait()
	if trouble {
		rolling.Go(func() { l.roll(ctx, l.machines[stableNodes:]) })
	}
	time.Sleep(rollTime)
	t := newTraffic(l, m.keys[0])
	for _, x := range l.machines[:stableNodes] {
		sending.Go(func() { t.sendTo(ctx, x, rollInterval) })
	}
	sending.Wait()
	return t.check(rollRate, rollBurst), nil
}

// roll stops and starts the nodes in turn, one at a time, until the context ends.
func (l *lab) roll(ctx context.Context, nodes []*machine) {
	for i := 0; ctx.Err() == nil; i++ {
		if err := nodes[i%len(nodes)].restart(); err != nil {
			l.note("a node is not started: %v", err)
			return
		}
		time.Sleep(rollPause)
	}
}
