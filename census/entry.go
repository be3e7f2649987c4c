package census

import "github.com/pomeloworks/pomelo"

// entry is a member's record as last read.
type entry struct {
	member pomelo.Member
	// carried marks a record that was read in an earlier epoch of the store and has not been written again in the current one.
	carried bool
}

// expiredEntry is a member whose record left the store at expiredAt, by the monotonic clock.
type expiredEntry struct {
	member    pomelo.Member
	expiredAt pomelo.Millis
}
