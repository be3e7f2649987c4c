package notice

import (
	"sync"

	"github.com/pomeloworks/pomelo"
)

const (
	// maxNotices bounds the notices kept; from there on, those not confirmed for noticeTTL, in milliseconds, are evicted.
	maxNotices = 4096
	noticeTTL  = pomelo.Millis(60_000)
)

// Board holds the last notice of each VM's upstream that states a limit, is cold or has left.
type Board struct {
	clock   pomelo.Clock
	mu      sync.Mutex
	notices map[string]entry
}

type entry struct {
	notice     pomelo.UpstreamNotice
	recordedAt pomelo.Millis
}

// New returns an empty board.
func New(clock pomelo.Clock) *Board {
	return &Board{clock: clock, notices: map[string]entry{}}
}

// Record replaces the VM's notice; nil, from a node that has no response of its upstream yet, keeps it.
func (b *Board) Record(vm string, n *pomelo.UpstreamNotice) {
	if n == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !n.Rate.Limited && !n.Left && n.WarmupLeft <= 0 {
		delete(b.notices, vm)
		return
	}
	now := b.clock.Now()
	if len(b.notices) >= maxNotices {
		b.evict(now)
	}
	b.notices[vm] = entry{notice: *n, recordedAt: now}
}

// Of returns the VM's notice, or nil if it has none; the time for which the upstream is cold is what is left of it.
func (b *Board) Of(vm string) *pomelo.UpstreamNotice {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, ok := b.notices[vm]
	if !ok {
		return nil
	}
	n := e.notice
	n.WarmupLeft = max(0, n.WarmupLeft-(b.clock.Now()-e.recordedAt))
	if !n.Rate.Limited && !n.Left && n.WarmupLeft == 0 {
		delete(b.notices, vm)
		return nil
	}
	return &n
}

func (b *Board) evict(now pomelo.Millis) {
	for vm, e := range b.notices {
		if now-e.recordedAt > noticeTTL {
			delete(b.notices, vm)
		}
	}
}
