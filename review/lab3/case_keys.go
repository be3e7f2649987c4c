package main

import (
	"fmt"
	"sync"
	"time"
)

// Times of the case.
const (
	// revokeBound is revoke_ms of the settings.
	revokeBound = 5 * time.Second
	// watchAfter is the time after the bound in which requests are checked.
	watchAfter = 10 * time.Second
)

// playKeys has the operator take the key of a client account away while its caller goes on. With the trouble, it is the only account, so that none is left; without it, another account stays.
func playKeys(l *lab, trouble bool) (bool, string, error) {
	only, other := account{Name: "acme", Key: "k-only"}, account{Name: "other", Key: "k-other"}
	first, second := []account{only}, []account{}
	if !trouble {
		first, second = append(first, other), append(second, other)
	}
	l.writeManifest(1, first...)
	if err := l.addNodes(3); err != nil {
		return false, "", err
	}
	if err := l.awaitReady(only.Key); err != nil {
		return false, "", err
	}
	var sending sync.WaitGroup
	results := make([][]result, len(l.nodes))
	end := time.Now().Add(5*time.Second + revokeBound + watchAfter)
	for i, n := range l.nodes {
		sending.Go(func() { results[i] = n.sendUntil(end, 100*time.Millisecond, "GET", "/read/x", only.Key) })
	}
	time.Sleep(5 * time.Second)
	ackAt := l.writeManifest(2, second...)
	sending.Wait()
	ran := map[string]bool{}
	for _, n := range l.nodes {
		for _, a := range n.upstream.runs() {
			ran[a.id] = true
		}
	}
	before, late, sentLate := 0, 0, 0
	for _, rs := range results {
		for _, r := range rs {
			switch {
			case r.sentAt.Before(ackAt) && ran[r.id]:
				before++
			case r.sentAt.After(ackAt.Add(revokeBound)):
				sentLate++
				if ran[r.id] {
					late++
				}
			}
		}
	}
	if before == 0 {
		return false, "", fmt.Errorf("no request ran before the key was taken away")
	}
	return late > 0, fmt.Sprintf("%d requests with the key ran before it was taken away; of %d that were sent more than %v after the acknowledgement, %d ran", before, sentLate, revokeBound, late), nil
}
