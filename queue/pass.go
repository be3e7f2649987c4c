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

// End gives the slot back.
func (p *pass) End(own pomelo.Millis, whole bool) {
	p.once.Do(func() { p.queue.leave(p.ticket, own, whole) })
}

// Wait changes nothing: a call keeps its slot at the upstream while it waits for its sub-calls.
func (p *pass) Wait(bool) {}
