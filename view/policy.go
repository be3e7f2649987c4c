package view

import (
	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/guard"
	"github.com/pomeloworks/pomelo/policy"
)

// Policy returns the newest policy, or false until one has been read.
func (v *View) Policy() (pomelo.Policy, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.policy, v.policy != nil
}

// Age returns the milliseconds since the start of the last read that proved the policy to be current.
func (v *View) Age() pomelo.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ageOf(v.proof.ProvenAt())
}

// confirmPolicy records that a read of the epoch that began at start showed the current policy; the mutex must be held.
func (v *View) confirmPolicy(epoch int64, start pomelo.Millis) {
	if v.policy == nil || v.needsConsultation() {
		return
	}
	provenAt, known := v.proof.ProvenAt()
	if !v.proof.Confirm(v.policy.Version(), epoch, start) {
		return
	}
	if !known || v.clock.Monotonic()-provenAt > outageThreshold {
		v.log.Info("store_regained", "epoch", epoch, "revision", v.census.Position().Revision, "version", v.policy.Version())
	}
}

// adoptPolicy replaces the policy by one of a higher version and ignores an invalid one.
func (v *View) adoptPolicy(r pomelo.Record, source string) {
	if r.Key != v.policyKey || r.Deleted {
		return
	}
	spec, err := v.parsePolicy(r.Value)
	if err != nil {
		v.log.Warn("policy_unusable", "revision", r.Revision, "source", source, "error", err.Error())
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.policy != nil && spec.Version <= v.policy.Version() {
		return
	}
	v.policy = policy.New(spec)
	v.policyValue = r.Value
	v.log.Info("policy_adopted", "version", spec.Version, "revision", r.Revision, "source", source, "routes", len(spec.Routes), "accounts", len(spec.Accounts))
}

// parsePolicy parses a policy that may hold anything.
func (v *View) parsePolicy(value []byte) (pomelo.PolicySpec, error) {
	var spec pomelo.PolicySpec
	err := errPolicyPanic
	guard.New(v.log).Run("policy", "", func() { spec, err = v.parse(value) })
	return spec, err
}

var errPolicyPanic = errors.New("reading the policy ended unexpectedly")
