package owner

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pomeloworks/pomelo"
)

// memberList is the store's member list with the monotonic time and the wall-clock time at which this node applied it.
type memberList struct {
	list []pomelo.Member
	// active are the members of list that may own resources.
	active           []pomelo.Member
	appliedMonotonic pomelo.Millis
	appliedAt        pomelo.Millis
	// position is the state of the store that the list has reached at least.
	position pomelo.Position
	// relisted is true if owners between the previous list and this one may have been missed.
	relisted bool
	// young is true if the list may lack members that still act by a list of an earlier epoch of the store, or by one that this process has not seen.
	young bool
	// returned is set for the first list after the store returned from a copy.
	returned *storeReturn
}

// owner returns the owner of the resource by list i.
func (t *Tracker) owner(i int, resource string) (pomelo.Member, bool) {
	if i < 0 {
		return pomelo.Member{}, false
	}
	at := highestHash(t.lists[i].active, resource)
	if at < 0 {
		return pomelo.Member{}, false
	}
	return t.lists[i].active[at], true
}

// newestOwner returns the index of the resource's owner among the active members of the newest list, or -1; it is computed once for each list.
func (t *Tracker) newestOwner(resource string) int {
	at, ok := t.owners[resource]
	if !ok {
		at = highestHash(t.lists[len(t.lists)-1].active, resource)
		t.owners[resource] = at
	}
	return at
}

// highestHash returns the index of the member with the highest hash of its VM and the resource, or -1 if there are no members.
func highestHash(members []pomelo.Member, resource string) int {
	best := -1
	var maxHash uint64
	var d xxhash.Digest
	for i := range members {
		d.Reset()
		_, _ = d.WriteString(members[i].VM)
		_, _ = d.WriteString(" ")
		_, _ = d.WriteString(resource)
		if h := d.Sum64(); best < 0 || h > maxHash {
			best = i
			maxHash = h
		}
	}
	return best
}

// runStart returns the oldest list since which the resource has had the same owner without a break up to list i.
func (t *Tracker) runStart(i int, resource string) int {
	m, _ := t.owner(i, resource)
	for i > 0 {
		previous, ok := t.owner(i-1, resource)
		if !ok || !sameTerm(previous, m) {
			break
		}
		i--
	}
	return i
}

// sameTerm reports whether both records belong to the same process and it has not resigned in between.
func sameTerm(a, b pomelo.Member) bool {
	return a.VM == b.VM && a.Incarnation == b.Incarnation && a.Term == b.Term
}

// hasStopped reports whether the list shows that the process no longer acts on its resources: its record expired, it resigned, or another process runs on its VM.
func hasStopped(m pomelo.Member, list []pomelo.Member) bool {
	i := slices.IndexFunc(list, func(e pomelo.Member) bool { return e.VM == m.VM })
	return i < 0 || list[i].Draining || !sameTerm(list[i], m)
}

// sameRecord reports whether both lists contain the VM's record with the same process and term, so that the record has not expired in between.
func sameRecord(a, b []pomelo.Member, vm string) bool {
	i := slices.IndexFunc(a, func(m pomelo.Member) bool { return m.VM == vm })
	return i >= 0 && containsProcess(b, a[i])
}

// sameActive reports whether both lists of active members assign every resource to the same process.
func sameActive(a, b []pomelo.Member) bool {
	return slices.EqualFunc(a, b, sameTerm)
}

// active returns the members that may own resources: the list itself if none is draining.
func active(members []pomelo.Member) []pomelo.Member {
	isDraining := func(m pomelo.Member) bool { return m.Draining }
	if !slices.ContainsFunc(members, isDraining) {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), isDraining)
}

// containsProcess reports whether the list contains the process with its current term.
func containsProcess(list []pomelo.Member, self pomelo.Member) bool {
	return slices.ContainsFunc(list, func(m pomelo.Member) bool { return sameTerm(m, self) })
}
