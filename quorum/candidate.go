package quorum

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pomeloworks/pomelo"
)

// maxCandidacies is the maximum number of rosters that a node is a candidate for, so that its work does not grow with the fleet.
const maxCandidacies = 3

func (c *Coordinator) candidates(i int) []pomelo.Member {
	var out []pomelo.Member
	for _, m := range c.members.All() {
		if c.mayBeMember(m.VM, i) {
			out = append(out, m)
		}
	}
	return out
}

func (c *Coordinator) isCandidate(i int) bool {
	return c.mayBeMember(c.members.Self().VM, i)
}

func (c *Coordinator) mayBeMember(vm string, i int) bool {
	if c.rosterCount <= maxCandidacies {
		return true
	}
	h := xxhash.Sum64String(vm)
	for range maxCandidacies {
		if h%uint64(c.rosterCount) == uint64(i) {
			return true
		}
		h /= uint64(c.rosterCount)
	}
	return false
}
