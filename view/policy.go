package view

import (
	"bytes"

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

// confirmPolicy records that a read of the epoch that began at start showed this version of the policy; the mutex must be held.
func (v *View) confirmPolicy(epoch int64, start pomelo.Millis, shown int64) {
	if v.policy == nil || v.needsConsultation() || !v.proves(shown) {
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

// proves reports whether a read that showed this version proves the policy in force: only its own version does, as far as its accounts could be read, or an older one after the store has returned from a copy. The mutex must be held.
func (v *View) proves(shown int64) bool {
	if v.spec.Gaps.Has(pomelo.GapAccounts) || shown == unreadableVersion {
		return false
	}
	if shown == v.policy.Version() {
		return true
	}
	_, returned := v.proof.EpochAge(v.clock.Monotonic())
	return shown < v.policy.Version() && (returned || v.isFromPeer)
}

// Further source of a policy in the log; another one is the VM of the node that had it.
const (
	sourceRead = "read"
)

// unreadableVersion is that of a policy whose version can't be read; a store without a policy shows the version 0.
const unreadableVersion = -1

// adoptPolicy replaces the policy by one of a higher version, and returns the version of the record, or unreadableVersion.
func (v *View) adoptPolicy(r pomelo.Record, source string) int64 {
	if r.Key != v.policyKey || r.Deleted {
		return 0
	}
	if version, ok := v.versionOf(r); ok {
		return version
	}
	spec, err := v.parsePolicy(r.Value)
	if err != nil {
		v.notePolicyUnusable(r, source, err)
		return unreadableVersion
	}
	if !v.replacePolicy(spec, r, source) {
		return spec.Version
	}
	if spec.KeysRequired {
		v.requireKeys("policy")
	}
	for _, f := range v.onPolicy {
		f()
	}
	return spec.Version
}

// versionOf returns the version of a record that has been read before.
func (v *View) versionOf(r pomelo.Record) (int64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.policy != nil && bytes.Equal(r.Value, v.policyValue) {
		v.clearPolicyUnusable()
		return v.policy.Version(), true
	}
	if v.unusableValue != nil && bytes.Equal(r.Value, v.unusableValue) {
		return unreadableVersion, true
	}
	return 0, false
}

// notePolicyUnusable logs a policy that can't be read, once.
func (v *View) notePolicyUnusable(r pomelo.Record, source string, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.unusableValue = r.Value
	v.gauge("policy.unusable", 1)
	v.log.Warn("policy_unusable", "revision", r.Revision, "source", source, "error", err.Error(), "keys_refused_after_ms", v.maxPolicyAge)
}

// notePartsUnread logs and counts the parts of a policy that can't be read; the mutex must be held.
func (v *View) notePartsUnread(spec pomelo.PolicySpec) {
	v.clearPolicyUnusable()
	v.gauge("policy.parts_unread", float64(len(spec.Unread)))
	for i, x := range spec.Unread {
		if i == maxPartsLogged {
			v.log.Warn("policy_parts_unread", "version", spec.Version, "count", len(spec.Unread), "remedy", "write the policy again with a higher version")
			return
		}
		v.log.Warn("policy_part_unread", "version", spec.Version, "kind", x.Kind, "name", x.Name, "reason", x.Reason, "remedy", "write it again with a higher version")
	}
}

// clearPolicyUnusable notes that the newest policy can be read; the mutex must be held.
func (v *View) clearPolicyUnusable() {
	if v.unusableValue == nil {
		return
	}
	v.unusableValue = nil
	v.gauge("policy.unusable", 0)
}

func (v *View) gauge(name string, value float64) {
	if v.metrics != nil {
		v.metrics.Gauge(name, value)
	}
}

// maxPartsLogged is the number of unread parts of one policy that are logged one by one.
const maxPartsLogged = 20

// replacePolicy puts the policy in force, and reports false if it is not a later one.
func (v *View) replacePolicy(spec pomelo.PolicySpec, r pomelo.Record, source string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.policy != nil && spec.Version <= v.policy.Version() {
		return false
	}
	v.notePartsUnread(spec)
	spec = policy.Complete(v.spec, spec)
	hasAccounts := spec.KeysRequired
	spec.KeysRequired = hasAccounts || v.keysRequired
	v.spec = spec
	v.policy = policy.New(spec)
	v.policyValue = r.Value
	v.isFromPeer = source != sourceRead && source != sourceWatch
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
