package send

import (
	"slices"

	"github.com/pomeloworks/pomelo"
)

// filter decides which members may receive a call: none in an evacuated zone, and where the call has regions, only those in one of them.
type filter struct {
	evacuated []string
	// regions is nil if the call may run in any region.
	regions []string
}

func (f filter) isEmpty() bool {
	return len(f.evacuated) == 0 && f.regions == nil
}

func (f filter) allows(m pomelo.Member) bool {
	return f.allowsRegion(m) && !slices.Contains(f.evacuated, m.AvailabilityZone)
}

// allowsRegion reports whether the member's region is allowed; a member without a region is in none.
func (f filter) allowsRegion(m pomelo.Member) bool {
	return f.regions == nil || m.Region != "" && slices.Contains(f.regions, m.Region)
}

// apply returns the allowed members, in a slice of their own.
func (f filter) apply(members []pomelo.Member) []pomelo.Member {
	var out []pomelo.Member
	for _, m := range members {
		if f.allows(m) {
			out = append(out, m)
		}
	}
	return out
}
