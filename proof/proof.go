package proof

import "github.com/pomeloworks/pomelo"

// Times in milliseconds.
const (
	// settlePeriod is the time after a store's return for which its policy proves nothing, so that the operators can write again what was lost.
	settlePeriod = pomelo.Millis(2_000)
	// settleMargin is the remaining lifetime of an earlier proof from which the policy of a returned store counts all the same: otherwise a short outage would end in refusals.
	settleMargin = pomelo.Millis(1_200)
)

// Proof is the time at which the policy was last known to be current; its times are monotonic, and it is not safe for concurrent use.
type Proof struct {
	maxAge       pomelo.Millis
	epoch        int64
	epochSeenAt  pomelo.Millis
	returned     bool
	settledAt    pomelo.Millis
	knownVersion int64
	proven       bool
	provenAt     pomelo.Millis
}

// New returns a Proof for policies that are used for at most maxAge milliseconds after their last proof.
func New(maxAge pomelo.Millis) *Proof {
	return &Proof{maxAge: maxAge}
}

// ObserveEpoch records the store's epoch as seen at now, and reports whether it is newer than the one seen before.
func (p *Proof) ObserveEpoch(epoch int64, now pomelo.Millis) bool {
	if epoch <= p.epoch {
		return false
	}
	first := p.epoch == 0
	p.epoch = epoch
	if first {
		return true
	}
	p.returned = true
	p.epochSeenAt = now
	p.settledAt = now + settlePeriod
	if p.proven {
		p.settledAt = min(p.settledAt, max(now, p.provenAt+p.maxAge-settleMargin))
	}
	return true
}

// Epoch returns the highest epoch of the store seen so far.
func (p *Proof) Epoch() int64 {
	return p.epoch
}

// EpochAge returns the milliseconds since this process saw the store return, or false if it has not seen that.
func (p *Proof) EpochAge(now pomelo.Millis) (pomelo.Millis, bool) {
	return now - p.epochSeenAt, p.returned
}

// ObservePeer records what a peer reported at now: the policy version that it has, and how long ago it saw the store return to the epoch, or false if it did not see that.
func (p *Proof) ObservePeer(version, epoch int64, age pomelo.Millis, returned bool, now pomelo.Millis) {
	p.knownVersion = max(p.knownVersion, version)
	if returned && epoch == p.epoch && !p.returned {
		p.settledAt = max(p.settledAt, now+settlePeriod-age)
	}
}

// KnownVersion returns the highest version that this process or a peer has had.
func (p *Proof) KnownVersion() int64 {
	return p.knownVersion
}

// Confirm records that a read which began at start showed this version in the epoch, and reports whether that proves it to be current.
func (p *Proof) Confirm(version, epoch int64, start pomelo.Millis) bool {
	if version < p.knownVersion || epoch < p.epoch || start < p.settledAt {
		return false
	}
	p.knownVersion = version
	p.proven = true
	p.provenAt = max(p.provenAt, start)
	return true
}

// ProvenAt returns the start of the last read that proved the policy to be current, or false if there is none.
func (p *Proof) ProvenAt() (pomelo.Millis, bool) {
	return p.provenAt, p.proven
}
