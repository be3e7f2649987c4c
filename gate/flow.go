package gate

import (
	"slices"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/rank"
)

// waiter is one waiting call; decision receives nil when the call is admitted, or its refusal.
type waiter struct {
	account  string
	rank     rank.Rank
	deadline pomelo.Millis
	// maxWait is the longest wait, in milliseconds, after which the call still has time to run before its deadline.
	maxWait  pomelo.Millis
	decision chan error
	flow     *flow
}

// flow holds one account's waiting calls of one importance, in ascending order; the last one is served next.
type flow struct {
	account string
	waiting []*waiter
	// virtualStart is the flow's start time in the level's virtual time, which counts calls served.
	virtualStart float64
}

func (f *flow) add(w *waiter) {
	w.flow = f
	i, _ := slices.BinarySearchFunc(f.waiting, w.rank.Order, byOrder)
	f.waiting = slices.Insert(f.waiting, i, w)
}

// ahead counts the flow's calls that would be served before a call of this order.
func (f *flow) ahead(order uint64) int {
	i, _ := slices.BinarySearchFunc(f.waiting, order, byOrder)
	return len(f.waiting) - i
}

func (f *flow) remove(w *waiter) {
	i, _ := slices.BinarySearchFunc(f.waiting, w.rank.Order, byOrder)
	for f.waiting[i] != w {
		i++
	}
	f.waiting = slices.Delete(f.waiting, i, i+1)
	w.flow = nil
}

func (f *flow) next() *waiter {
	return f.waiting[len(f.waiting)-1]
}

func (f *flow) lowest() *waiter {
	return f.waiting[0]
}

func byOrder(w *waiter, order uint64) int {
	switch {
	case w.rank.Order < order:
		return -1
	case w.rank.Order > order:
		return 1
	}
	return 0
}
