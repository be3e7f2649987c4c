package roster

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pomeloworks/pomelo"
)

func candidateOrder(name string, m pomelo.Member) string {
	return strconv.FormatUint(xxhash.Sum64String(name+"\x00"+m.VM)|1<<63, 16) + m.Incarnation
}

func hasVM(members []pomelo.Member, vm string) bool {
	for _, member := range members {
		if member.VM == vm {
			return true
		}
	}
	return false
}

func countInZone(members []pomelo.Member, c pomelo.Member) int {
	n := 0
	for _, member := range members {
		if member.AvailabilityZone == c.AvailabilityZone {
			n++
		}
	}
	return n
}

func sameSet(a, b []pomelo.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, member := range a {
		if !contains(b, member) {
			return false
		}
	}
	return true
}
