package owner

import "github.com/pomeloworks/pomelo"

// storeReturn describes the return of the store from a copy.
type storeReturn struct {
	// continues is true if the process keeps what it owned.
	continues bool
	// verifiedBefore is the last proof of the list before the return.
	verifiedBefore pomelo.Millis
	// rejoinedAt is the time at which this process's record was read in the new epoch, or 0 until then.
	rejoinedAt pomelo.Millis
}

// isProvenSince reports whether the last proof of the list began after the time, as required of a store that can return from a copy: an owner that acts has then been listed for so long that every process with a proof in the same epoch knows it.
func (t *Tracker) isProvenSince(at pomelo.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lists[len(t.lists)-1].position.Epoch == 0 || t.verifiedAt > at
}

// isReturn reports whether the list is the first one of a later epoch of the store.
func (t *Tracker) isReturn(next memberList) bool {
	return len(t.lists) > 0 && next.position.Epoch > t.lists[len(t.lists)-1].position.Epoch
}

// applyReturn keeps the ownership of a process whose last proof is so recent that no process which it doesn't know can have become an owner before the store returned; any other process starts anew.
func (t *Tracker) applyReturn(next memberList, self pomelo.Member, now pomelo.Millis) {
	next.returned = &storeReturn{verifiedBefore: t.verifiedAt}
	if now-t.verifiedAt > maxListAge || !containsProcess(next.list, self) || !sameRecord(t.currentList(), next.list, self.VM) {
		t.lists = []memberList{next}
		return
	}
	next.returned.continues = true
	t.lists = append(t.lists, next)
}

// rejoinsAnew reports whether the list is the first one in a returned store with this process's record, and the process does not keep what it owned.
func (t *Tracker) rejoinsAnew(next memberList, self pomelo.Member) bool {
	if !isWritten(next, self) {
		return false
	}
	for _, e := range t.lists {
		if e.returned == nil || e.returned.rejoinedAt > 0 {
			continue
		}
		if !e.returned.continues || !containsProcess(t.currentList(), self) {
			return true
		}
	}
	return false
}

// isWritten reports whether the list contains this process's record as written in the list's epoch of the store.
func isWritten(e memberList, self pomelo.Member) bool {
	for _, m := range e.list {
		if sameTerm(m, self) && m.Epoch == e.position.Epoch {
			return true
		}
	}
	return false
}

// updateYoung sets until when the list may lack members: after a return, and at a process's first list unless a record shows that the epoch is old.
func (t *Tracker) updateYoung(next memberList, now pomelo.Millis) {
	first := len(t.lists) == 0 && t.youngUntil == 0
	switch {
	case t.isReturn(next):
	case first && next.position.Epoch > 0 && !t.firstStart && !hasSoleOwner(next):
	default:
		return
	}
	t.youngUntil = now + youngPeriod
}

func (t *Tracker) isYoung() bool {
	return t.verifiedAt < t.youngUntil
}

// hasSoleOwner reports whether a record written in the list's epoch shows its process as the sole owner, which no process becomes in a young epoch.
func hasSoleOwner(e memberList) bool {
	for _, m := range e.list {
		if m.SoleOwner && m.Epoch == e.position.Epoch {
			return true
		}
	}
	return false
}

// observeOwnRecord records when this process's record is first listed in the epoch of the last return.
func (t *Tracker) observeOwnRecord(next memberList, self pomelo.Member, now pomelo.Millis) {
	if !isWritten(next, self) {
		return
	}
	for _, e := range t.lists {
		if e.returned != nil && e.returned.rejoinedAt == 0 {
			e.returned.rejoinedAt = now
		}
	}
}

// afterReturns applies the store's returns during the ownership: a process that could not act before a return waits anew from the time at which others can know it again.
func (t *Tracker) afterReturns(o ownership) ownership {
	for _, e := range t.lists[o.firstList+1:] {
		if e.returned == nil || o.isConfirmed && o.exclusiveFrom <= e.appliedMonotonic || o.exclusiveFrom < e.returned.verifiedBefore {
			continue
		}
		o.isConfirmed = false
		o.exclusiveFrom = neverExclusive
		if e.returned.rejoinedAt > 0 {
			o.exclusiveFrom = e.returned.rejoinedAt + maxListAge
		}
	}
	return o
}

// lastRejoin returns when this process's record was read after the last return since list first, or neverExclusive if it has not been.
func (t *Tracker) lastRejoin(first int) pomelo.Millis {
	at := pomelo.Millis(0)
	for _, e := range t.lists[first:] {
		if e.returned == nil {
			continue
		}
		if e.returned.rejoinedAt == 0 {
			return neverExclusive
		}
		at = max(at, e.returned.rejoinedAt)
	}
	return at
}

// neverExclusive is later than any monotonic time, in milliseconds.
const neverExclusive = pomelo.Millis(1) << 50
