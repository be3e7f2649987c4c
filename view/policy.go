package view

import (
	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/guard"
	"github.com/pomeloworks/pomelo/policy"
)

// Policy returns the newest policy, or false until one has been read. A policy that requires no keys is returned once the members have been listed, whose records say whether an earlier one did.
func (v *View) Policy() (pomelo.Policy, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.policy == nil || !v.policy.KeysRequired() && !v.isListed() {
		return nil, false
	}
	return v.policy, true
}

func (v *View) hasPolicy() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.policy != nil
}

func (v *View) isListed() bool {
	select {
	case <-v.listed:
		return true
	default:
		return false
	}
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
	if !v.replacePolicy(spec, r, source) {
		return
	}
	if spec.KeysRequired {
		v.requireKeys("policy")
	}
	for _, f := range v.onPolicy {
		f()
	}
}

// replacePolicy puts the policy in force, and reports false if it is not a later one.
func (v *View) replacePolicy(spec pomelo.PolicySpec, r pomelo.Record, source string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.policy != nil && spec.Version <= v.policy.Version() {
		return false
	}
	hasAccounts := spec.KeysRequired
	spec.KeysRequired = hasAccounts || v.keysRequired
	v.spec = spec
	v.policy = policy.New(spec)
	v.policyValue = r.Value
	v.log.Info("policy_adopted", "version", spec.Version, "revision", r.Revision, "source", source, "routes", len(spec.Routes), "accounts", len(spec.Accounts), "keys_required", spec.KeysRequired)
	if !hasAccounts && spec.KeysRequired {
		v.log.Warn("policy_without_accounts", "version", spec.Version, "remedy", "to accept requests without a key, open their routes")
	}
	return true
}

// requireKeys keeps it for all later policies that requests need a key: a request that ran by mistake can't be undone, one that was refused can be sent again.
func (v *View) requireKeys(source string) {
	v.mu.Lock()
	known := v.keysRequired
	v.keysRequired = true
	if v.policy != nil && !v.policy.KeysRequired() {
		v.spec.KeysRequired = true
		v.policy = policy.New(v.spec)
		v.log.Warn("policy_without_accounts", "version", v.spec.Version, "source", source, "remedy", "to accept requests without a key, open their routes")
	}
	v.mu.Unlock()
	if known {
		return
	}
	for _, f := range v.onKeysRequired {
		f()
	}
}

// parsePolicy parses a policy that may hold anything.
func (v *View) parsePolicy(value []byte) (pomelo.PolicySpec, error) {
	var spec pomelo.PolicySpec
	err := errPolicyPanic
	guard.New(v.log).Run("policy", "", func() { spec, err = v.parse(value) })
	return spec, err
}

var errPolicyPanic = errors.New("reading the policy ended unexpectedly")
