package roster

import "github.com/pomeloworks/pomelo"

// Targets returns the members to send heartbeats to: those of the known generation and, until it is in effect, previous members that have not acknowledged it.
func (m *Machine) Targets() []pomelo.Member {
	var out []pomelo.Member
	for _, member := range m.known.Members {
		if processIDOf(member) != processIDOf(m.self) {
			out = append(out, member)
		}
	}
	if m.effective {
		return out
	}
	for _, member := range m.known.Previous {
		if !m.hasAcknowledged(member) && !contains(out, member) {
			out = append(out, member)
		}
	}
	return out
}

// Heartbeat returns the heartbeat to send to the member now.
func (m *Machine) Heartbeat(to pomelo.Member) pomelo.RosterHeartbeat {
	b := pomelo.RosterHeartbeat{Name: m.name, Generation: m.known.Generation, Resigned: m.resigned}
	if m.known.Generation > 0 && m.peerGenerations[processIDOf(to)] < m.known.Generation {
		r := m.known
		b.Roster = &r
	}
	return b
}

// Answer applies another process's heartbeat and returns the answer; answering with a generation acknowledges it and ends all votes for earlier ones.
func (m *Machine) Answer(now pomelo.Millis, from pomelo.Member, b pomelo.RosterHeartbeat) pomelo.RosterHeartbeatReply {
	if b.Resigned {
		m.MarkRemoved(now, from)
	}
	if b.Roster != nil {
		m.adopt(now, *b.Roster)
	}
	reply := pomelo.RosterHeartbeatReply{
		Incarnation:  m.self.Incarnation,
		Generation:   m.known.Generation,
		InEffect:     m.effective,
		Resigned:     m.resigned,
		Unresponsive: m.unresponsive(now),
	}
	if m.known.Generation > b.Generation {
		r := m.known
		reply.Roster = &r
	}
	return reply
}

// HandleReply applies the member's answer to a heartbeat that was sent at requestedAt.
func (m *Machine) HandleReply(requestedAt, now pomelo.Millis, from pomelo.Member, reply pomelo.RosterHeartbeatReply) {
	if reply.Incarnation != from.Incarnation {
		return
	}
	if reply.Resigned {
		m.MarkRemoved(now, from)
	}
	if reply.Roster != nil {
		m.adopt(now, *reply.Roster)
	}
	k := processIDOf(from)
	m.lastSeen[k] = now
	m.peerGenerations[k] = reply.Generation
	m.unresponsiveReports[k] = reply.Unresponsive
	m.applyReply(requestedAt, now, from, reply)
	m.updateConfirmation(now)
}

func (m *Machine) applyReply(requestedAt, now pomelo.Millis, from pomelo.Member, reply pomelo.RosterHeartbeatReply) {
	k := processIDOf(from)
	if reply.Generation >= m.known.Generation && contains(m.known.Previous, from) {
		m.recordFirst(now, m.acks, k)
	}
	if reply.Generation != m.known.Generation {
		return
	}
	if reply.InEffect {
		m.takeEffect(now)
	}
	if contains(m.known.Members, from) && k != processIDOf(m.self) && !reply.Resigned {
		m.votes[k] = max(m.votes[k], requestedAt)
	}
}

// ApplyStored applies the roster's record from the store, as found by a read or written by a write of this node that began at requestedAt.
func (m *Machine) ApplyStored(requestedAt, now pomelo.Millis, r pomelo.Roster) {
	m.adopt(now, r)
	if r.Generation != m.known.Generation {
		return
	}
	m.storeReadAt = max(m.storeReadAt, requestedAt)
	m.storeConfirmedAt = max(m.storeConfirmedAt, requestedAt)
	m.updateConfirmation(now)
}

// Tick advances monotonic time by elapsed milliseconds; now is the wall-clock time.
func (m *Machine) Tick(now, elapsed pomelo.Millis) {
	m.monotonic += elapsed
	if !m.effective {
		m.advanceWait(now, elapsed)
	}
	m.updateConfirmation(now)
}

// advanceWait counts monotonic time only, since a wall clock that jumps ahead must not shorten the wait.
func (m *Machine) advanceWait(now, elapsed pomelo.Millis) {
	m.sinceAdopted = addElapsed(m.sinceAdopted, elapsed)
	if m.isAcknowledged() {
		m.sinceAcknowledged = addElapsed(m.sinceAcknowledged, elapsed)
	}
	if m.sinceAdopted >= withMargin(m.maxStoreOutage) || m.sinceAcknowledged >= withMargin(m.ownershipTTL) {
		m.takeEffect(now)
	}
}

// addElapsed adds a tick to a count; the tick during which the count begins is left out, since most of it may lie before the beginning.
func addElapsed(count, elapsed pomelo.Millis) pomelo.Millis {
	if count < 0 {
		return 0
	}
	return count + elapsed
}

func (m *Machine) isAcknowledged() bool {
	n := 0
	for _, member := range m.known.Previous {
		if m.hasAcknowledged(member) {
			n++
		}
	}
	return n >= majority(len(m.known.Previous))
}

// hasAcknowledged reports whether the member has acknowledged the known generation, or is removed: a removed process owns nothing and answers nothing.
func (m *Machine) hasAcknowledged(member pomelo.Member) bool {
	_, removed := m.removed[processIDOf(member)]
	_, acknowledged := m.acks[processIDOf(member)]
	return removed || acknowledged
}

// MarkRemoved records that the process has stopped, has resigned, or was destroyed with its VM: it never acts on a resource again.
func (m *Machine) MarkRemoved(now pomelo.Millis, member pomelo.Member) {
	m.recordFirst(now, m.removed, processIDOf(member))
}

// recordFirst records when something was first known about a process.
func (m *Machine) recordFirst(now pomelo.Millis, records map[processID]moment, k processID) {
	if _, ok := records[k]; ok {
		return
	}
	records[k] = moment{at: now, monotonic: m.monotonic}
	m.markMonotonic(now)
}

// Resign ends all ownership and votes of this process for good.
func (m *Machine) Resign(now pomelo.Millis) {
	m.resigned = true
	m.fire("resign")
	m.updateConfirmation(now)
}

func withMargin(d pomelo.Millis) pomelo.Millis {
	return d + max(d/marginDivisor, minMargin)
}
