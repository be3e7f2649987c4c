package tenure

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pomeloworks/pomelo"
)

// epoch is a list of members and when it came into force here, by the steady time and by the clock's.
type epoch struct {
	list  []pomelo.Member
	at    pomelo.Millis
	began pomelo.Millis
	// revision is the store's that the list had reached at least.
	revision pomelo.Revision
	// relisted says that owners between this list and the one before may have gone unseen.
	relisted bool
}

// owner is the right's owner in the epoch's list.
func (t *Tenure) owner(i int, right string) (pomelo.Member, bool) {
	if i < 0 {
		return pomelo.Member{}, false
	}
	var best pomelo.Member
	var most uint64
	for _, m := range live(t.epochs[i].list) {
		if h := xxhash.Sum64String(m.VM + " " + right); best.VM == "" || h > most {
			best = m
			most = h
		}
	}
	return best, best.VM != ""
}

// runStart is the oldest epoch from which on, up to the given one, the right has one owner without a break.
func (t *Tenure) runStart(i int, right string) int {
	m, _ := t.owner(i, right)
	for i > 0 {
		e, ok := t.owner(i-1, right)
		if !ok || !sameTerm(e, m) {
			break
		}
		i--
	}
	return i
}

// sameTerm reports whether both are of one process that has not resigned in between.
func sameTerm(a, b pomelo.Member) bool {
	return a.VM == b.VM && a.Incarnation == b.Incarnation && a.Term == b.Term
}

// hasStopped reports whether the list shows that the process no longer acts on its rights: its record lapsed, it resigned, or another process runs on its VM.
func hasStopped(m pomelo.Member, list []pomelo.Member) bool {
	i := slices.IndexFunc(list, func(e pomelo.Member) bool { return e.VM == m.VM })
	return i < 0 || list[i].Draining || !sameTerm(list[i], m)
}

// keeps reports whether the VM's record stands in both lists for the same process and term, so that it has not lapsed in between.
func keeps(a, b []pomelo.Member, vm string) bool {
	i := slices.IndexFunc(a, func(m pomelo.Member) bool { return m.VM == vm })
	return i >= 0 && lists(b, a[i])
}

// sameLive reports whether the lists give every right to the same process.
func sameLive(a, b []pomelo.Member) bool {
	return slices.EqualFunc(live(a), live(b), sameTerm)
}

func live(members []pomelo.Member) []pomelo.Member {
	var out []pomelo.Member
	for _, m := range members {
		if !m.Draining {
			out = append(out, m)
		}
	}
	return out
}

// lists reports whether the process is in the list with its present term.
func lists(list []pomelo.Member, self pomelo.Member) bool {
	return slices.ContainsFunc(list, func(m pomelo.Member) bool { return sameTerm(m, self) })
}
