package worker

import (
	"slices"

	"github.com/pomeloworks/pomelo"
)

// maxWithdrawals limits the withdrawals that are kept.
const maxWithdrawals = 8

// withdrawal is the deregistration of an upstream before this process heard of it; startedAt is 0 until its start is known.
type withdrawal struct {
	id        string
	startedAt pomelo.Millis
}

// withdrawals are those of the upstreams that the process does not know, the oldest first.
type withdrawals []withdrawal

func (l *withdrawals) add(id string, startedAt pomelo.Millis) {
	*l = append(*l, withdrawal{id: id, startedAt: startedAt})
	if len(*l) > maxWithdrawals {
		*l = slices.Delete(*l, 0, 1)
	}
}

// include reports whether this start of the upstream has been withdrawn; a withdrawal without a start is of the first one heard of.
func (l withdrawals) include(i pomelo.Instance) bool {
	for n := range l {
		x := &l[n]
		if x.id != i.ID {
			continue
		}
		if x.startedAt == 0 {
			x.startedAt = i.StartedAt
		}
		if i.StartedAt <= x.startedAt {
			return true
		}
	}
	return false
}
