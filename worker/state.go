package worker

import "github.com/pomeloworks/pomelo"

// state is the upstream's last accepted heartbeat, if any.
type state struct {
	instance pomelo.Instance
	known    bool
	// unconfirmed marks an upstream that is known from the record of the previous process only.
	unconfirmed bool
	withdrawals withdrawals
}

// replace takes over a heartbeat; an upstream that has left stays so until it starts again.
func (s *state) replace(i pomelo.Instance) {
	i.Left = s.instance.Left && s.isSameStart(i) || s.withdrawals.include(i)
	i.Draining = i.Draining || i.Left
	s.instance = i
	s.known = true
	s.unconfirmed = false
}

// resume takes over the upstream of the previous process's record.
func (s *state) resume(i pomelo.Instance) {
	left := i.Left
	s.replace(i)
	if left {
		s.leave()
	}
	s.unconfirmed = !s.instance.Draining
}

// drain takes over from the record that a heartbeat has said that the upstream drains, unless a later one is known.
func (s *state) drain(i pomelo.Instance) bool {
	if !s.isSameStart(i) || s.instance.Draining || i.Sequence < s.instance.Sequence {
		return false
	}
	s.instance.Draining = true
	s.instance.Sequence = i.Sequence
	return true
}

// leave marks the upstream as having left.
func (s *state) leave() {
	s.instance.Left = true
	s.instance.Draining = true
}

// isSameStart reports whether i is the known upstream, started at the same time.
func (s *state) isSameStart(i pomelo.Instance) bool {
	return s.known && s.instance.ID == i.ID && s.instance.StartedAt == i.StartedAt
}

// isReplacedBy reports whether i is newer than the known heartbeat: from a later start of an upstream, or with a higher sequence number from the same start.
func (s *state) isReplacedBy(i pomelo.Instance) bool {
	if !s.known {
		return true
	}
	if i.ID == s.instance.ID && i.StartedAt == s.instance.StartedAt {
		return i.Sequence > s.instance.Sequence
	}
	return i.StartedAt >= s.instance.StartedAt
}
