package main

import (
	"fmt"
	"time"
)

// playOdd has another writer send one heartbeat that lacks the zone and the version, and the endpoint drain some seconds later.
func playOdd(l *lab, trouble bool) (bool, error) {
	if err := l.write(manifest{version: 1, service: "shop", timeoutMS: 5000}); err != nil {
		return false, err
	}
	for _, zone := range []string{"sofia-a", "sofia-b", "sofia-c"} {
		if err := l.addMachine("shop", zone, endpointOptions{slots: 55, work: 300 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	if trouble {
		e := l.machines[0].endpoint
		status, err := e.post("heartbeat", map[string]any{
			"address": e.address,
			"born":    time.Now().UnixMilli(),
			"info":    map[string]any{"service": e.machine.service, "slots": e.opts.slots},
			"status":  map[string]any{"state": "ready", "seq": 1},
		})
		if err != nil {
			return false, err
		}
		l.note("another writer sends a heartbeat of %s without zone, version and warm-up: %d", e.id, status)
		fmt.Println("answer to the odd heartbeat:", status)
	}
	return drainFirst(l)
}
