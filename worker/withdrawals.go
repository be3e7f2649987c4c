package worker

import (
	"slices"

	"github.com/pomeloworks/pomelo"
)

// maxWithdrawals limits the withdrawals that are kept.
const maxWithdrawals = 8

// withdrawals are the deregistrations of the upstreams that the process does not know, the oldest first.
type withdrawals []pomelo.Withdrawal

func (l *withdrawals) add(x pomelo.Withdrawal) {
	if slices.Contains(*l, x) {
		return
	}
	*l = append(*l, x)
	if len(*l) > maxWithdrawals {
		*l = slices.Delete(*l, 0, 1)
	}
}

// include reports whether this start of the upstream has been withdrawn; a withdrawal without a start is of the first one heard of.
func (l withdrawals) include(i pomelo.Instance) bool {
	for n := range l {
		x := &l[n]
		if x.ID != i.ID {
			continue
		}
		if x.StartedAt == 0 {
			x.StartedAt = i.StartedAt
		}
		if i.StartedAt <= x.StartedAt {
			return true
		}
	}
	return false
}
