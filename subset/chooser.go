package subset

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pomeloworks/pomelo"
)

const (
	// minSize is the smallest number of members in a subset, this node not counted: enough for the choice among three of them, and for the failure of some.
	minSize = 8
	// overlap is the number of subsets that each member is in on average, of the nodes beside upstreams of one service: if the nodes of a single service send all calls, the members still get about equally many.
	overlap = 6
	// minRemote is the number of members of other zones in a subset, so that calls have somewhere to go when the node's own zone fails.
	minRemote = 2
)

// Chooser chooses a node's subsets by rendezvous hashing; it is safe for concurrent use.
type Chooser struct {
	mu      sync.Mutex
	subsets map[string]chosen
}

// chosen is the subset of one list of members for one number of callers.
type chosen struct {
	members []pomelo.Member
	callers int
	subset  []pomelo.Member
}

// New returns a Chooser that has chosen nothing yet.
func New(opts ...func(*Chooser)) *Chooser {
	c := &Chooser{subsets: map[string]chosen{}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Choose returns the members of the service to which the node self sends its calls, in the order of the list: self, and of the others those with the highest hashes, in its own zone first. The callers are the number of nodes beside upstreams of the service that self serves. The list must not change after the call; the result is the same list for the same list of members.
func (c *Chooser) Choose(service string, members []pomelo.Member, self pomelo.Member, callers int) []pomelo.Member {
	if len(members) <= minSize {
		return members
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	last, ok := c.subsets[service]
	if ok && last.callers == callers && len(last.members) == len(members) && &last.members[0] == &members[0] {
		return last.subset
	}
	last = chosen{members: members, callers: callers, subset: choose(members, self, Size(len(members), callers))}
	c.subsets[service] = last
	return last.subset
}

// Members returns the number of members in the subsets of all services.
func (c *Chooser) Members() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.subsets {
		n += len(s.subset)
	}
	return n
}

// Size returns the number of members in a subset of a service with this many members, this node not counted. It is 2 or 3 times a power of two, so that it rarely changes when members join or leave, which would change the subsets of all nodes.
func Size(members, callers int) int {
	size := minSize
	for size*callers < overlap*members && size < members {
		if size&(size-1) == 0 {
			size += size / 2
			continue
		}
		size += size / 3
	}
	return size
}

// candidate is the position of a member in the list with its hash for this node.
type candidate struct {
	index int
	hash  uint64
}

func choose(members []pomelo.Member, self pomelo.Member, size int) []pomelo.Member {
	if len(members) <= size {
		return members
	}
	var near, remote []candidate
	var indexes []int
	for i := range members {
		k := candidate{index: i, hash: hash(self.VM, members[i].VM)}
		switch {
		case members[i].VM == self.VM:
			indexes = append(indexes, i)
		case members[i].AvailabilityZone == self.AvailabilityZone:
			near = append(near, k)
		default:
			remote = append(remote, k)
		}
	}
	fromRemote := min(len(remote), max(minRemote, size-len(near)))
	indexes = appendHighest(indexes, near, size-fromRemote)
	indexes = appendHighest(indexes, remote, fromRemote)
	slices.Sort(indexes)
	out := make([]pomelo.Member, 0, len(indexes))
	for _, i := range indexes {
		out = append(out, members[i])
	}
	return out
}

// appendHighest appends the positions of the n candidates with the highest hashes.
func appendHighest(indexes []int, candidates []candidate, n int) []int {
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.hash, a.hash) })
	for _, k := range candidates[:min(n, len(candidates))] {
		indexes = append(indexes, k.index)
	}
	return indexes
}

func hash(self, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(self)
	_, _ = d.WriteString(" ")
	_, _ = d.WriteString(vm)
	return d.Sum64()
}
