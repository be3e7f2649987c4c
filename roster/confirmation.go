package roster

import (
	"math"
	"slices"

	"github.com/pomeloworks/pomelo"
)

// ConfirmedUntil returns the wall-clock time until which this member's ownership is confirmed.
func (m *Machine) ConfirmedUntil() pomelo.Millis {
	return m.confirmedUntil
}

// updateConfirmation recomputes until when ownership is confirmed and updates the state chart.
func (m *Machine) updateConfirmation(now pomelo.Millis) {
	m.confirmedUntil = m.confirmationEnd()
	if now < m.confirmedUntil {
		m.fire("gain")
		return
	}
	m.fire("lose")
}

// carryConfirmation retains the confirmation across one change of generation: the generation after the next can't be in effect before it expires.
func (m *Machine) carryConfirmation(r pomelo.Roster) {
	m.carriedUntil = never
	if r.Generation == m.known.Generation+1 {
		m.carriedUntil = m.confirmedUntil
	}
}

func (m *Machine) confirmationEnd() pomelo.Millis {
	if m.resigned || !m.IsMember() {
		return never
	}
	t := max(m.storeReadAt, m.majorityConfirmedAt()) + m.ownershipTTL
	// Without the store ownership ends at some time for certain, so that resources of lost owners can move.
	return min(t, m.storeConfirmedAt+m.maxStoreOutage)
}

// majorityConfirmedAt returns the latest time since which a majority, including this member, has confirmed the generation.
func (m *Machine) majorityConfirmedAt() pomelo.Millis {
	others := majority(len(m.known.Members)) - 1
	if others == 0 {
		return math.MaxInt64 / 2
	}
	if len(m.votes) < others {
		return never
	}
	requestTimes := make([]pomelo.Millis, 0, len(m.votes))
	for _, t := range m.votes {
		requestTimes = append(requestTimes, t)
	}
	slices.Sort(requestTimes)
	return requestTimes[len(requestTimes)-others]
}
