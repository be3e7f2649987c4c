package worker

import "github.com/pomeloworks/pomelo"

// state is what the upstream last said of itself.
type state struct {
	instance pomelo.Instance
	known    bool
}

// outdates reports whether i says something newer than what is known.
func (s *state) outdates(i pomelo.Instance) bool {
	if !s.known {
		return true
	}
	if i.ID == s.instance.ID && i.StartedAt == s.instance.StartedAt {
		return i.Sequence > s.instance.Sequence
	}
	return i.StartedAt >= s.instance.StartedAt
}
