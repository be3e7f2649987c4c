package gate

import "slices"

// maxExactFlows is the largest number of flows for which the calls ahead are counted exactly; with more, all flows count as equally long.
const maxExactFlows = 64

// level holds the flows of one importance and shares the capacity between them by start-time fair queueing.
type level struct {
	flows       map[string]*flow
	active      []*flow
	virtualTime float64
	count       int
}

func (l *level) flow(account string) *flow {
	f := l.flows[account]
	if f == nil {
		f = &flow{account: account, virtualStart: l.virtualTime}
		l.flows[account] = f
		l.active = append(l.active, f)
	}
	return f
}

func (l *level) add(w *waiter) {
	l.flow(w.account).add(w)
	l.count++
}

func (l *level) remove(w *waiter) {
	f := w.flow
	f.remove(w)
	l.count--
	if len(f.waiting) == 0 {
		l.removeFlow(f)
	}
}

func (l *level) removeFlow(f *flow) {
	delete(l.flows, f.account)
	i := slices.Index(l.active, f)
	last := len(l.active) - 1
	l.active[i] = l.active[last]
	l.active[last] = nil
	l.active = l.active[:last]
}

// next removes and returns the next call of the flow with the earliest virtual start time.
func (l *level) next() *waiter {
	earliest := l.active[0]
	for _, f := range l.active[1:] {
		if f.virtualStart < earliest.virtualStart {
			earliest = f
		}
	}
	l.virtualTime = earliest.virtualStart
	earliest.virtualStart++
	w := earliest.next()
	l.remove(w)
	return w
}

// ahead counts the calls that would be served before one of this account and order, if each flow gets the same share.
func (l *level) ahead(account string, order uint64) int {
	inFlow := 0
	if f := l.flows[account]; f != nil {
		inFlow = f.ahead(order)
	}
	if len(l.active) > maxExactFlows {
		return min(inFlow*len(l.active), l.count)
	}
	sum := inFlow
	for _, f := range l.active {
		if f.account != account {
			sum += min(inFlow, len(f.waiting))
		}
	}
	return sum
}

// longest returns the flow with the most waiting calls, with one call more counted for the given account.
func (l *level) longest(account string) *flow {
	var longest *flow
	maxLength := 0
	for _, f := range l.active {
		n := len(f.waiting)
		if f.account == account {
			n++
		}
		if n > maxLength {
			longest, maxLength = f, n
		}
	}
	return longest
}

func (l *level) length(account string) int {
	if f := l.flows[account]; f != nil {
		return len(f.waiting)
	}
	return 0
}
