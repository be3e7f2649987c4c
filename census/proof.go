package census

import "github.com/pomeloworks/pomelo"

// Prove records that a read which began at start showed the list to be current in its epoch.
func (c *Census) Prove(start pomelo.Millis) {
	c.proven = true
	c.provenAt = max(c.provenAt, start)
}

// ProvenAt returns the start of the last read that showed the list to be current, or false before the first one in this epoch.
func (c *Census) ProvenAt() (pomelo.Millis, bool) {
	return c.provenAt, c.proven
}

// OwnProofAt returns the start of the last read by which this member may act as an owner, or false if there is none: others can know it by the list of the current epoch only once its record has been written there.
func (c *Census) OwnProofAt() (pomelo.Millis, bool) {
	if e := c.entries[c.vm]; e.carried {
		return c.earlierProofAt, c.earlierProofAt > 0
	}
	return c.provenAt, c.proven
}
