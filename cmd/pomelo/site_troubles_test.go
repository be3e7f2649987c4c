package main

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pomeloworks/pomelo/platform/fake"
)

// share is a probability that changes while the site runs.
type share struct{ bits atomic.Uint64 }

func (s *share) load() float64   { return math.Float64frombits(s.bits.Load()) }
func (s *share) store(v float64) { s.bits.Store(math.Float64bits(v)) }

// troubles are the shares of responses that fail in some way, drawn from one seeded source.
type troubles struct {
	mu     sync.Mutex
	random *rand.Rand

	reject, repeat, repeatLate, loseReset, loseSilent, truncate, spoil, slowBody share
}

func (t *troubles) init(seed uint64) { t.random = rand.New(rand.NewPCG(seed, 0)) }

func (t *troubles) float() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64()
}

func (t *troubles) intN(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.IntN(n)
}

func (t *troubles) happens(p float64) bool { return p > 0 && t.float() < p }

// draw switches each failing share on or off.
func (t *troubles) draw() {
	for s, v := range map[*share]float64{&t.reject: 0.45, &t.repeat: 0.016, &t.repeatLate: 0.03, &t.loseReset: 0.05, &t.loseSilent: 0.025, &t.truncate: 0.02, &t.spoil: 0.02, &t.slowBody: 0.2} {
		if t.happens(0.5) {
			v = 0
		}
		s.store(v)
	}
}

// clear ends all failing shares.
func (t *troubles) clear() {
	for _, s := range []*share{&t.reject, &t.repeat, &t.repeatLate, &t.loseReset, &t.loseSilent, &t.truncate, &t.spoil, &t.slowBody} {
		s.store(0)
	}
}

const (
	troublePeriod = 1500 * time.Millisecond
	restartPause  = 500 * time.Millisecond
)

// runTroubles changes the troubles and lets nodes, upstreams and the store fail until the end.
func (s *site) runTroubles(end time.Time) {
	t := &s.troubles
	var events sync.WaitGroup
	for time.Now().Before(end) {
		t.draw()
		for range 1 + t.intN(2) {
			n := s.nodes[t.intN(len(s.nodes))]
			kind := t.intN(8)
			events.Go(func() { s.strike(n, kind) })
		}
		time.Sleep(troublePeriod)
	}
	t.clear()
	events.Wait()
}

// strike lets one thing fail.
func (s *site) strike(n *siteNode, kind int) {
	if !n.failing.TryLock() {
		return
	}
	defer n.failing.Unlock()
	t := &s.troubles
	switch kind {
	case 0:
		n.kill()
		time.Sleep(restartPause)
		n.start()
	case 1, 2:
		n.stop()
		time.Sleep(restartPause)
		n.start()
	case 3:
		n.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(500+t.intN(3000)) * time.Millisecond)
		n.signal(syscall.SIGCONT)
	case 4:
		n.upstream.crash()
		time.Sleep(time.Duration(200+t.intN(2000)) * time.Millisecond)
		n.upstream.start()
	case 5:
		n.upstream.leave(2 * time.Second)
		time.Sleep(restartPause)
		n.upstream.start()
	case 6:
		n.upstream.resetConns(0.55)
	case 7:
		s.store.SetFault(n.vm, fake.Fault{Unresponsive: true})
		time.Sleep(4 * time.Second)
		s.store.SetFault(n.vm, fake.Fault{})
	}
}
