package owner

import "github.com/pomeloworks/pomelo"

// process identifies a process in one of its terms.
type process struct {
	vm          string
	incarnation string
	term        int64
}

func processOf(m pomelo.Member) process {
	return process{vm: m.VM, incarnation: m.Incarnation, term: m.Term}
}

// ConfirmPosition records that the member has applied the store's list up to the position, so that it acts by that list or a later one.
func (t *Tracker) ConfirmPosition(m pomelo.Member, position pomelo.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := processOf(m)
	if !t.confirmedPosition[p].Before(position) {
		return
	}
	t.confirmedPosition[p] = position
	clear(t.owned)
}

// hasConfirmed reports whether the member has confirmed the position; a list of another epoch proves nothing about this one.
func (t *Tracker) hasConfirmed(m pomelo.Member, position pomelo.Position) bool {
	confirmed, ok := t.confirmedPosition[processOf(m)]
	return ok && confirmed.Epoch == position.Epoch && !confirmed.Before(position)
}

// requestConfirmation asks a member to confirm its list position, at most once per confirmInterval.
func (t *Tracker) requestConfirmation(m pomelo.Member, now pomelo.Millis) {
	p := processOf(m)
	if at, ok := t.requestedAt[p]; ok && now-at < confirmInterval {
		return
	}
	t.requestedAt[p] = now
	t.requestPosition(m)
}

// allConfirmed reports whether every other member that may own resources has confirmed the list of the position, and asks the others; members of a fleet larger than maxConfirmMembers are not asked, nor are those of a young epoch, in which the list may lack some.
func (t *Tracker) allConfirmed(self pomelo.Member, position pomelo.Position, now pomelo.Millis) bool {
	var others []pomelo.Member
	if len(t.lists) > 0 {
		others = t.lists[len(t.lists)-1].active
	}
	if len(others) > maxConfirmMembers || t.isYoung() {
		return false
	}
	all := true
	for _, m := range others {
		if sameTerm(m, self) || t.hasConfirmed(m, position) {
			continue
		}
		all = false
		t.requestConfirmation(m, now)
	}
	return all
}

// dropUnlisted drops confirmations of, and requests to, processes that no retained list contains, once there are many.
func (t *Tracker) dropUnlisted() {
	if bound := minProcesses + 2*len(t.currentList()); len(t.confirmedPosition) <= bound && len(t.requestedAt) <= bound {
		return
	}
	listed := map[process]bool{}
	for _, e := range t.lists {
		for _, m := range e.list {
			listed[processOf(m)] = true
		}
	}
	for p := range t.confirmedPosition {
		if !listed[p] {
			delete(t.confirmedPosition, p)
		}
	}
	for p := range t.requestedAt {
		if !listed[p] {
			delete(t.requestedAt, p)
		}
	}
}
