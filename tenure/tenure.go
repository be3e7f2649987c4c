package tenure

import "github.com/pomeloworks/pomelo"

// Tenure is the state of one process's lease across the store's epochs; its times are monotonic, and it is not safe for concurrent use.
type Tenure struct {
	epoch     int64
	held      bool
	renewedAt pomelo.Millis
	expiresAt pomelo.Millis
	// pending is true while the record has not been written again in the current epoch, which must happen before keepUntil.
	pending   bool
	keepUntil pomelo.Millis
}

// BeginEpoch records that the store has returned from a copy, which may lack the lease and the record, and reports whether the epoch is a new one.
func (t *Tenure) BeginEpoch(epoch int64) bool {
	if epoch <= t.epoch {
		return false
	}
	t.epoch = epoch
	if t.held && !t.pending {
		t.pending = true
		t.keepUntil = min(t.expiresAt, t.renewedAt+pomelo.MaxMemberProofAge)
	}
	return true
}

// Renewed records a lease that was granted or renewed by a call sent at the given time.
func (t *Tenure) Renewed(sentAt, ttl pomelo.Millis) {
	t.held = true
	t.renewedAt = sentAt
	t.expiresAt = sentAt + ttl
}

// Lost records that the store no longer has the lease, and reports whether the process must resign because others may have seen its record expire.
func (t *Tenure) Lost() bool {
	return t.held && !t.pending
}

// Overdue reports whether the process must resign because its record was not written again in time after the store returned; it is reported once.
func (t *Tenure) Overdue(now pomelo.Millis) bool {
	if !t.pending || now < t.keepUntil {
		return false
	}
	t.pending = false
	return true
}

// Written records that the store acknowledged the record at the given time, and reports whether the process must resign because that was too late.
func (t *Tenure) Written(now pomelo.Millis) bool {
	if t.Overdue(now) {
		return true
	}
	t.pending = false
	return false
}

// ExpiresAt returns the earliest time at which the lease may expire.
func (t *Tenure) ExpiresAt() pomelo.Millis {
	return t.expiresAt
}
