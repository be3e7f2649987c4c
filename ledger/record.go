package ledger

import (
	"context"
	"sync"

	"github.com/pomeloworks/pomelo"
)

type record struct {
	ctx             context.Context
	cancel          context.CancelFunc
	mu              sync.Mutex
	parent          pomelo.Call
	openedAt        pomelo.Millis
	retriesLeft     int
	runningSubCalls int
	waitingSince    pomelo.Millis
	totalWait       pomelo.Millis
	subtreeCalls    map[string]pomelo.SubtreeCalls
	onWait          func(waiting bool)
}

func newRecord(ctx context.Context, cancel context.CancelFunc, c pomelo.Call, now pomelo.Millis) *record {
	return &record{
		ctx:          ctx,
		cancel:       cancel,
		parent:       c,
		openedAt:     now,
		retriesLeft:  max(c.RetriesLeft, 0),
		subtreeCalls: map[string]pomelo.SubtreeCalls{},
		onWait:       func(bool) {},
	}
}

func (r *record) begin(child pomelo.Call, now pomelo.Millis) (context.Context, pomelo.Call, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now >= r.parent.Deadline {
		return nil, child, pomelo.NewFault(pomelo.KindDeadline, "the request's deadline has passed", "allow more time")
	}
	if r.parent.Depth >= maxDepth {
		return nil, child, pomelo.NewFault(pomelo.KindBadRequest, "the call tree is too deep", "break the loop between the services")
	}
	child.ID = newID()
	child.RootID = r.parent.RootID
	child.ParentID = r.parent.ID
	child.Account = r.parent.Account
	child.KeyID = r.parent.KeyID
	child.RouteName = r.parent.RouteName
	child.Importance = r.parent.Importance
	child.Depth = r.parent.Depth + 1
	child.Deadline = r.parent.Deadline
	child.RetriesLeft = r.takeRetries()
	r.startSubCall(now)
	return r.ctx, child, nil
}

// takeRetries takes half of the remaining retries, rounded up, for a sub-call, so that concurrent sub-calls each get some.
func (r *record) takeRetries() int {
	n := (r.retriesLeft + 1) / 2
	r.retriesLeft -= n
	return n
}

func (r *record) finish(a pomelo.Answer, now pomelo.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopSubCall(now)
	r.retriesLeft = min(r.retriesLeft+max(a.RetriesLeft, 0), r.parent.RetriesLeft)
	for _, v := range a.SubtreeCalls {
		sum := r.subtreeCalls[v.Service]
		sum.Service = v.Service
		sum.Calls += v.Calls
		sum.ShedThreshold = v.ShedThreshold
		r.subtreeCalls[v.Service] = sum
	}
}

func (r *record) close(now pomelo.Millis) pomelo.CallSummary {
	r.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runningSubCalls > 0 {
		r.totalWait += now - r.waitingSince
	}
	summary := pomelo.CallSummary{SelfTime: now - r.openedAt - r.totalWait, RetriesLeft: r.retriesLeft}
	for _, v := range r.subtreeCalls {
		summary.SubtreeCalls = append(summary.SubtreeCalls, v)
	}
	return summary
}

func (r *record) startSubCall(now pomelo.Millis) {
	if r.runningSubCalls == 0 {
		r.waitingSince = now
		r.onWait(true)
	}
	r.runningSubCalls++
}

func (r *record) stopSubCall(now pomelo.Millis) {
	r.runningSubCalls--
	if r.runningSubCalls == 0 {
		r.totalWait += now - r.waitingSince
		r.onWait(false)
	}
}
