package roster

import (
	"slices"
	"strings"

	"github.com/pomeloworks/pomelo"
)

// Propose returns the next generation to write, if a change is due and it is this node's turn; candidates are all known nodes.
func (m *Machine) Propose(now pomelo.Millis, candidates []pomelo.Member) (pomelo.Roster, bool) {
	if m.resigned || !m.effective || !m.mayPropose(now) {
		return pomelo.Roster{}, false
	}
	retained := m.retained(now, candidates)
	next := m.fillUp(retained, candidates)
	if len(next) == 0 || sameSet(next, m.known.Members) {
		return pomelo.Roster{}, false
	}
	return pomelo.Roster{
		Name:       m.name,
		Generation: m.known.Generation + 1,
		Members:    next,
		Previous:   m.known.Members,
	}, true
}

// mayPropose reports whether it is this node's turn to propose: the first responsive member's, or any node's if no member responds.
func (m *Machine) mayPropose(now pomelo.Millis) bool {
	if !m.IsMember() {
		return m.isOrphaned(now)
	}
	if now >= m.confirmedUntil {
		return false
	}
	for _, member := range m.known.Members {
		if processIDOf(member) == processIDOf(m.self) {
			return true
		}
		if !m.isUnresponsive(now, member) {
			return false
		}
	}
	return false
}

// isOrphaned reports whether all members are removed or have been unresponsive for so long that a node outside the roster should propose.
func (m *Machine) isOrphaned(now pomelo.Millis) bool {
	for _, member := range m.known.Members {
		_, removed := m.removed[processIDOf(member)]
		if !removed && now-max(m.lastSeen[processIDOf(member)], m.adoptedAt) <= orphanFactor*m.suspectAfter {
			return false
		}
	}
	return true
}

// retained returns the members without those that are removed, draining, or unresponsive to a majority of the responsive members.
func (m *Machine) retained(now pomelo.Millis, candidates []pomelo.Member) []pomelo.Member {
	var out []pomelo.Member
	for _, member := range m.known.Members {
		_, removed := m.removed[processIDOf(member)]
		if removed || m.isSuspect(now, member) || isDraining(candidates, member) {
			continue
		}
		out = append(out, member)
	}
	return out
}

// fillUp adds candidates up to the roster's size, each from the availability zone with the fewest members.
func (m *Machine) fillUp(retained, candidates []pomelo.Member) []pomelo.Member {
	out := slices.Clone(retained)
	eligible := m.eligible(out, candidates)
	for len(out) < m.maxMembers && len(eligible) > 0 {
		best := 0
		for i, c := range eligible {
			if countInZone(out, c) < countInZone(out, eligible[best]) {
				best = i
			}
		}
		out = append(out, identity(eligible[best]))
		eligible = slices.Delete(eligible, best, best+1)
	}
	return out
}

// eligible returns the candidates that may be added, in an order specific to the roster, so that many rosters spread over the fleet.
func (m *Machine) eligible(listed, candidates []pomelo.Member) []pomelo.Member {
	var out []pomelo.Member
	for _, c := range candidates {
		_, removed := m.removed[processIDOf(c)]
		if c.Draining || removed || c.VM == "" || hasVM(listed, c.VM) {
			continue
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b pomelo.Member) int {
		return strings.Compare(candidateOrder(m.name, a), candidateOrder(m.name, b))
	})
	return out
}

func (m *Machine) isSuspect(now pomelo.Millis, member pomelo.Member) bool {
	if processIDOf(member) == processIDOf(m.self) || !m.isUnresponsive(now, member) {
		return false
	}
	agree, answering := 1, 1
	for _, o := range m.known.Members {
		if processIDOf(o) == processIDOf(m.self) || m.isUnresponsive(now, o) {
			continue
		}
		answering++
		if slices.Contains(m.unresponsiveReports[processIDOf(o)], member.VM) {
			agree++
		}
	}
	return agree >= majority(answering)
}

func (m *Machine) isUnresponsive(now pomelo.Millis, member pomelo.Member) bool {
	return now-max(m.lastSeen[processIDOf(member)], m.adoptedAt) > m.suspectAfter
}

func (m *Machine) unresponsive(now pomelo.Millis) []string {
	var out []string
	for _, member := range m.known.Members {
		if processIDOf(member) != processIDOf(m.self) && m.isUnresponsive(now, member) {
			out = append(out, member.VM)
		}
	}
	return out
}

func isDraining(candidates []pomelo.Member, m pomelo.Member) bool {
	for _, c := range candidates {
		if processIDOf(c) == processIDOf(m) {
			return c.Draining
		}
	}
	return false
}
