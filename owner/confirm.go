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

// ConfirmRevision records that the member has applied the store's list up to the revision, so that it acts by that list or a later one.
func (t *Tracker) ConfirmRevision(m pomelo.Member, revision pomelo.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := processOf(m)
	if revision <= t.confirmedRevision[p] {
		return
	}
	t.confirmedRevision[p] = revision
	clear(t.owned)
}

func (t *Tracker) hasConfirmed(m pomelo.Member, revision pomelo.Revision) bool {
	return t.confirmedRevision[processOf(m)] >= revision
}

// requestConfirmation asks a member to confirm its list revision, at most once per confirmInterval.
func (t *Tracker) requestConfirmation(m pomelo.Member, now pomelo.Millis) {
	p := processOf(m)
	if at, ok := t.requestedAt[p]; ok && now-at < confirmInterval {
		return
	}
	t.requestedAt[p] = now
	t.requestRevision(m)
}

// allConfirmed reports whether every other member that may own resources has confirmed the list of the revision, and asks the others; members of a fleet larger than maxConfirmMembers are not asked.
func (t *Tracker) allConfirmed(self pomelo.Member, revision pomelo.Revision, now pomelo.Millis) bool {
	others := active(t.currentList())
	if len(others) > maxConfirmMembers {
		return false
	}
	all := true
	for _, m := range others {
		if sameTerm(m, self) || t.hasConfirmed(m, revision) {
			continue
		}
		all = false
		t.requestConfirmation(m, now)
	}
	return all
}

// dropUnlisted drops confirmations of, and requests to, processes that no retained list contains.
func (t *Tracker) dropUnlisted() {
	listed := map[process]bool{}
	for _, e := range t.epochs {
		for _, m := range e.list {
			listed[processOf(m)] = true
		}
	}
	for p := range t.confirmedRevision {
		if !listed[p] {
			delete(t.confirmedRevision, p)
		}
	}
	for p := range t.requestedAt {
		if !listed[p] {
			delete(t.requestedAt, p)
		}
	}
}
