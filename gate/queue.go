package gate

import "github.com/pomeloworks/pomelo/rank"

// queue holds the waiting calls in the shedding order; the limiter's mutex guards it.
type queue struct {
	levels [rank.Levels]level
	count  int
}

func newQueue() *queue {
	q := &queue{}
	for i := range q.levels {
		q.levels[i].flows = map[string]*flow{}
	}
	return q
}

func (q *queue) add(w *waiter) {
	q.levels[w.rank.Importance].add(w)
	q.count++
}

func (q *queue) remove(w *waiter) {
	q.levels[w.rank.Importance].remove(w)
	q.count--
}

// next removes and returns the call to be served next; the queue must not be empty.
func (q *queue) next() *waiter {
	for i := rank.Levels - 1; i >= 0; i-- {
		if q.levels[i].count > 0 {
			q.count--
			return q.levels[i].next()
		}
	}
	return nil
}

// ahead counts the calls that would be served before w.
func (q *queue) ahead(w *waiter) int {
	n := q.levels[w.rank.Importance].ahead(w.account, w.rank.Order)
	for i := w.rank.Importance + 1; i < rank.Levels; i++ {
		n += q.levels[i].count
	}
	return n
}

// shedCandidate returns the call to shed when w arrives at a full queue, w included: the call of the lowest order, of the account with the most waiting calls, of the lowest importance.
func (q *queue) shedCandidate(w *waiter) *waiter {
	i := q.lowestImportance()
	if i > w.rank.Importance {
		return w
	}
	if i < w.rank.Importance {
		return q.levels[i].longest("").lowest()
	}
	l := &q.levels[i]
	f := l.longest(w.account)
	if f.account != w.account && len(f.waiting) <= l.length(w.account)+1 {
		return w
	}
	if f.account == w.account && w.rank.Order <= f.lowest().rank.Order {
		return w
	}
	return f.lowest()
}

// lowestImportance returns the lowest importance of the waiting calls, or rank.Levels if no call waits.
func (q *queue) lowestImportance() int {
	for i := range q.levels {
		if q.levels[i].count > 0 {
			return i
		}
	}
	return rank.Levels
}

// each visits the waiting calls in approximately the order of service, with the number of calls ahead of each.
func (q *queue) each(visit func(ahead int, w *waiter)) {
	ahead := 0
	for i := rank.Levels - 1; i >= 0; i-- {
		l := &q.levels[i]
		for round := 0; round < l.count; round++ {
			if !l.round(round, &ahead, visit) {
				break
			}
		}
	}
}

// round visits call n of each flow, counted from 0, and reports whether any flow has that many calls.
func (l *level) round(n int, ahead *int, visit func(ahead int, w *waiter)) bool {
	found := false
	for _, f := range l.active {
		if n >= len(f.waiting) {
			continue
		}
		found = true
		visit(*ahead, f.waiting[len(f.waiting)-1-n])
		*ahead++
	}
	return found
}
