package roster

import "github.com/pomeloworks/pomelo"

// Targets are the members to send heartbeats to: the list, and while it is not in effect those who have still to acknowledge it.
func (m *Machine) Targets() []pomelo.Member {
	var out []pomelo.Member
	for _, e := range m.known.Members {
		if idOf(e) != idOf(m.self) {
			out = append(out, e)
		}
	}
	if m.effective {
		return out
	}
	for _, e := range m.known.Previous {
		if !m.acknowledges(e) && !contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}

// Beat is the heartbeat to send to the member now.
func (m *Machine) Beat(to pomelo.Member) pomelo.RosterHeartbeat {
	b := pomelo.RosterHeartbeat{Name: m.name, Generation: m.known.Generation, Resigned: m.resigned}
	if m.known.Generation > 0 && m.seen[idOf(to)] < m.known.Generation {
		r := m.known
		b.Roster = &r
	}
	return b
}

// Answer takes another process's heartbeat and returns what to answer; answering a generation acknowledges it and ends all votes for those before.
func (m *Machine) Answer(now pomelo.Millis, from pomelo.Member, b pomelo.RosterHeartbeat) pomelo.RosterHeartbeatReply {
	if b.Resigned {
		m.Gone(now, from)
	}
	if b.Roster != nil {
		m.adopt(now, *b.Roster)
	}
	e := pomelo.RosterHeartbeatReply{
		Incarnation:  m.self.Incarnation,
		Generation:   m.known.Generation,
		InEffect:     m.effective,
		Resigned:     m.resigned,
		Unresponsive: m.silent(now),
	}
	if m.known.Generation > b.Generation {
		r := m.known
		e.Roster = &r
	}
	return e
}

// Heard takes the member's answer to a heartbeat that was sent at the clock's reading asked.
func (m *Machine) Heard(asked, now pomelo.Millis, from pomelo.Member, e pomelo.RosterHeartbeatReply) {
	if e.Incarnation != from.Incarnation {
		return
	}
	if e.Resigned {
		m.Gone(now, from)
	}
	if e.Roster != nil {
		m.adopt(now, *e.Roster)
	}
	k := idOf(from)
	m.heard[k] = now
	m.seen[k] = e.Generation
	m.reports[k] = e.Unresponsive
	m.count(asked, now, from, e)
	m.settle(now)
}

func (m *Machine) count(asked, now pomelo.Millis, from pomelo.Member, e pomelo.RosterHeartbeatReply) {
	k := idOf(from)
	if e.Generation >= m.known.Generation && contains(m.known.Previous, from) {
		m.note(now, m.acks, k)
	}
	if e.Generation != m.known.Generation {
		return
	}
	if e.InEffect {
		m.takeEffect(now)
	}
	if contains(m.known.Members, from) && k != idOf(m.self) && !e.Resigned {
		m.votes[k] = max(m.votes[k], asked)
	}
}

// Stored takes the roster's record as a read, or a write of one's own, that was begun at the clock's reading asked found it in the store.
func (m *Machine) Stored(asked, now pomelo.Millis, r pomelo.Roster) {
	m.adopt(now, r)
	if r.Generation != m.known.Generation {
		return
	}
	m.read = max(m.read, asked)
	m.confirmed = max(m.confirmed, asked)
	m.settle(now)
}

// Tick tells that slept milliseconds have been slept through by a clock that no change of wall time moves, and it is now.
func (m *Machine) Tick(now, slept pomelo.Millis) {
	m.slept += slept
	if !m.effective {
		m.wait(now, slept)
	}
	m.settle(now)
}

// wait counts slept time only, since a wall clock that jumps ahead must not shorten it.
func (m *Machine) wait(now, slept pomelo.Millis) {
	m.published = counted(m.published, slept)
	if m.isAcknowledged() {
		m.acknowledged = counted(m.acknowledged, slept)
	}
	if m.published >= withMargin(m.lost) || m.acknowledged >= withMargin(m.standing) {
		m.takeEffect(now)
	}
}

// counted leaves out the sleep in which a count begins, since only its end may lie after the beginning.
func counted(count, slept pomelo.Millis) pomelo.Millis {
	if count < 0 {
		return 0
	}
	return count + slept
}

func (m *Machine) isAcknowledged() bool {
	n := 0
	for _, e := range m.known.Previous {
		if m.acknowledges(e) {
			n++
		}
	}
	return n >= majority(len(m.known.Previous))
}

// acknowledges counts a process that is gone as well: it holds nothing and answers nothing any more.
func (m *Machine) acknowledges(e pomelo.Member) bool {
	_, gone := m.gone[idOf(e)]
	_, acknowledged := m.acks[idOf(e)]
	return gone || acknowledged
}

// Gone tells that the process has ended, has resigned, or was destroyed with its VM: it never acts on a right again.
func (m *Machine) Gone(now pomelo.Millis, e pomelo.Member) {
	m.note(now, m.gone, idOf(e))
}

// note keeps when something was first known of a process.
func (m *Machine) note(now pomelo.Millis, of map[id]moment, k id) {
	if _, ok := of[k]; ok {
		return
	}
	of[k] = moment{at: now, slept: m.slept}
	m.mark(now)
}

// Resign gives up all rights and votes of this process for good.
func (m *Machine) Resign(now pomelo.Millis) {
	m.resigned = true
	m.fire("resign")
	m.settle(now)
}

func withMargin(d pomelo.Millis) pomelo.Millis {
	return d + max(d/marginShare, marginLeast)
}
