package send

import (
	"slices"
	"sync"

	"github.com/pomeloworks/pomelo"
)

// filtered keeps the result of the last filter for each service. Calls then get the same list as long as the members and the filter are the same, on which the picker's order and the subsets depend.
type filtered struct {
	mu    sync.Mutex
	lists map[string]filteredList
}

// filteredList is the part of a list of members that a filter allows.
type filteredList struct {
	members []pomelo.Member
	filter  filter
	allowed []pomelo.Member
}

// apply returns the allowed members of the service; the list of members must be immutable and not empty.
func (x *filtered) apply(service string, members []pomelo.Member, f filter) []pomelo.Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	if l, ok := x.lists[service]; ok && len(l.members) == len(members) && &l.members[0] == &members[0] && l.filter.equals(f) {
		return l.allowed
	}
	if x.lists == nil {
		x.lists = map[string]filteredList{}
	}
	l := filteredList{members: members, filter: f, allowed: f.apply(members)}
	x.lists[service] = l
	return l.allowed
}

// equals reports whether both allow the same members; regions that are nil allow any region, and empty ones allow none.
func (f filter) equals(o filter) bool {
	return (f.regions == nil) == (o.regions == nil) && slices.Equal(f.regions, o.regions) && slices.Equal(f.evacuated, o.evacuated)
}
