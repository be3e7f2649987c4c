package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/pomeloworks/pomelo/platform/fake"
)

// Times of the case of a store that returns from a copy.
const (
	// copyLead is the time before the withdrawal at which the copy is made.
	copyLead = 500 * time.Millisecond
	// awayTime is the time for which the store is away.
	awayTime = time.Second
	// rewriteTime is the time after the store's return at which the operator has written again what was lost.
	rewriteTime = 2 * time.Second
	// drillWatch is the time after the start of the killed processes in which callers send.
	drillWatch = 6 * time.Second
)

// setAway lets the store leave all calls of the nodes without a response, or ends that.
func (l *lab) setAway(away bool) {
	for _, n := range l.nodes {
		l.store.SetFault(n.VM, fake.Fault{Unresponsive: away})
	}
	l.note("store: away for the nodes: %t", away)
}

// strikeDrill takes the store away and has it return from the copy while all processes are killed; the operator writes its manifest again.
func (l *lab) strikeDrill(older fake.Backup, rewrite func()) error {
	l.setAway(true)
	time.Sleep(awayTime)
	for _, n := range l.nodes {
		n.kill()
		l.note("%s: its process is killed", n.VM)
	}
	l.store.Restore(older)
	l.note("store: returns from the copy")
	l.setAway(false)
	time.AfterFunc(rewriteTime, rewrite)
	time.Sleep(restartPause)
	for _, n := range l.nodes {
		if err := n.run(); err != nil {
			return err
		}
	}
	return nil
}

// playDrill has the operator take a key away, and the store return from a copy made before that, over the bound after it, while all processes are killed.
func playDrill(l *lab, trouble bool) (bool, string, error) {
	gone, other := account{Name: "acme", Key: "k-gone"}, account{Name: "other", Key: "k-other"}
	l.writeManifest(1, gone, other)
	if err := l.addNodes(3); err != nil {
		return false, "", err
	}
	if err := l.awaitReady(gone.Key); err != nil {
		return false, "", err
	}
	time.Sleep(settleTime)
	older := l.store.Backup()
	l.note("store: the copy is made")
	time.Sleep(copyLead)
	ackAt := l.writeManifest(2, other)
	time.Sleep(revokeBound)
	if trouble {
		if err := l.strikeDrill(older, func() { l.writeManifest(2, other) }); err != nil {
			return false, "", err
		}
	}
	var sending sync.WaitGroup
	results := make([][]result, len(l.nodes))
	allowed := make([][]result, len(l.nodes))
	end := time.Now().Add(drillWatch)
	for i, n := range l.nodes {
		sending.Go(func() { results[i] = n.sendUntil(end, 25*time.Millisecond, "GET", "/read/x", gone.Key) })
		sending.Go(func() { allowed[i] = n.sendUntil(end, 100*time.Millisecond, "GET", "/read/x", other.Key) })
	}
	sending.Wait()
	ran := map[string]bool{}
	for _, n := range l.nodes {
		for _, a := range n.upstream.runs() {
			ran[a.id] = true
		}
	}
	late, sent, served := 0, 0, 0
	for i := range l.nodes {
		for _, r := range results[i] {
			if !r.sentAt.After(ackAt.Add(revokeBound)) {
				continue
			}
			sent++
			if ran[r.id] {
				late++
			}
		}
		for _, r := range allowed[i] {
			if ran[r.id] {
				served++
			}
		}
	}
	if served == 0 {
		return false, "", fmt.Errorf("no request with the other key ran")
	}
	return late > 0, fmt.Sprintf("of %d requests that were sent with the key more than %v after its withdrawal was acknowledged, %d ran; of those with the other key %d", sent, revokeBound, late, served), nil
}
