package queue

import (
	"sync"

	"github.com/pomeloworks/pomelo"
)

// pass is the slot of one running call.
type pass struct {
	queue  *Queue
	ticket *ticket
	once   sync.Once
}

// Release gives the slot back.
func (p *pass) Release(own pomelo.Millis, whole bool) {
	p.once.Do(func() { p.queue.leave(p.ticket, own, whole) })
}

// SetWaiting changes nothing: a call keeps its slot at the upstream while it waits for its sub-calls.
func (p *pass) SetWaiting(bool) {}
