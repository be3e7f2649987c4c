package tenure

import "github.com/pomeloworks/pomelo"

// process is one process in one of its terms.
type process struct {
	vm          string
	incarnation string
	term        int64
}

func processOf(m pomelo.Member) process {
	return process{vm: m.VM, incarnation: m.Incarnation, term: m.Term}
}

// Confirmed takes the revision up to which the member has said to have taken in the store's list: by that list it acts or not.
func (t *Tenure) Confirmed(m pomelo.Member, revision pomelo.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := processOf(m)
	if revision <= t.confirmed[p] {
		return
	}
	t.confirmed[p] = revision
	clear(t.held)
}

func (t *Tenure) knows(m pomelo.Member, revision pomelo.Revision) bool {
	return t.confirmed[processOf(m)] >= revision
}

// question asks a member, but not too often.
func (t *Tenure) question(m pomelo.Member, now pomelo.Millis) {
	p := processOf(m)
	if at, ok := t.asked[p]; ok && now-at < confirmEvery {
		return
	}
	t.asked[p] = now
	t.confirm(m)
}

// allKnow reports whether every other member that may hold rights knows the list of the revision, and asks those that may not; a large fleet is not asked.
func (t *Tenure) allKnow(self pomelo.Member, revision pomelo.Revision, now pomelo.Millis) bool {
	others := live(t.list())
	if len(others) > confirmMost {
		return false
	}
	all := true
	for _, m := range others {
		if sameTerm(m, self) || t.knows(m, revision) {
			continue
		}
		all = false
		t.question(m, now)
	}
	return all
}

// forget drops what is known of processes that are no longer listed.
func (t *Tenure) forget() {
	listed := map[process]bool{}
	for _, e := range t.epochs {
		for _, m := range e.list {
			listed[processOf(m)] = true
		}
	}
	for p := range t.confirmed {
		if !listed[p] {
			delete(t.confirmed, p)
		}
	}
	for p := range t.asked {
		if !listed[p] {
			delete(t.asked, p)
		}
	}
}
