package queue

import (
	"sync"

	"github.com/pomeloworks/pomelo"
)

// permit holds the slot of one running call.
type permit struct {
	queue  *Queue
	waiter *waiter
	once   sync.Once
}

// Release releases the slot and updates the expected run times.
func (p *permit) Release(selfTime pomelo.Millis, complete bool) {
	p.once.Do(func() { p.queue.release(p.waiter, selfTime, complete) })
}

// SetWaiting does nothing: a call keeps its slot at the upstream while it waits for its sub-calls.
func (p *permit) SetWaiting(bool) {}
