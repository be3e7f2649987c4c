package ledger

import (
	"context"
	"sync"

	"github.com/pomeloworks/pomelo"
)

type record struct {
	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	call    pomelo.Call
	opened  pomelo.Millis
	retries int
	running int
	since   pomelo.Millis
	waited  pomelo.Millis
	visits  map[string]pomelo.SubtreeCalls
	waits   func(waiting bool)
}

func newRecord(ctx context.Context, cancel context.CancelFunc, c pomelo.Call, now pomelo.Millis) *record {
	return &record{
		ctx:     ctx,
		cancel:  cancel,
		call:    c,
		opened:  now,
		retries: max(c.RetriesLeft, 0),
		visits:  map[string]pomelo.SubtreeCalls{},
		waits:   func(bool) {},
	}
}

func (r *record) begin(child pomelo.Call, now pomelo.Millis) (context.Context, pomelo.Call, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now >= r.call.Deadline {
		return nil, child, pomelo.NewFault(pomelo.KindDeadline, "the request's deadline has passed", "allow more time")
	}
	if r.call.Depth >= maxDepth {
		return nil, child, pomelo.NewFault(pomelo.KindBadRequest, "the call tree is too deep", "break the loop between the services")
	}
	child.ID = newID()
	child.RootID = r.call.RootID
	child.ParentID = r.call.ID
	child.Account = r.call.Account
	child.KeyID = r.call.KeyID
	child.RouteName = r.call.RouteName
	child.Importance = r.call.Importance
	child.Depth = r.call.Depth + 1
	child.Deadline = r.call.Deadline
	child.RetriesLeft = r.lend()
	r.start(now)
	return r.ctx, child, nil
}

// lend parts with the larger half of the retries, so that sub-calls that run at once each get some.
func (r *record) lend() int {
	n := (r.retries + 1) / 2
	r.retries -= n
	return n
}

func (r *record) finish(a pomelo.Answer, now pomelo.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stop(now)
	r.retries = min(r.retries+max(a.RetriesLeft, 0), r.call.RetriesLeft)
	for _, v := range a.SubtreeCalls {
		sum := r.visits[v.Service]
		sum.Service = v.Service
		sum.Calls += v.Calls
		sum.ShedThreshold = v.ShedThreshold
		r.visits[v.Service] = sum
	}
}

func (r *record) close(now pomelo.Millis) pomelo.CallSummary {
	r.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running > 0 {
		r.waited += now - r.since
	}
	c := pomelo.CallSummary{SelfTime: now - r.opened - r.waited, RetriesLeft: r.retries}
	for _, v := range r.visits {
		c.SubtreeCalls = append(c.SubtreeCalls, v)
	}
	return c
}

func (r *record) start(now pomelo.Millis) {
	if r.running == 0 {
		r.since = now
		r.waits(true)
	}
	r.running++
}

func (r *record) stop(now pomelo.Millis) {
	r.running--
	if r.running == 0 {
		r.waited += now - r.since
		r.waits(false)
	}
}
