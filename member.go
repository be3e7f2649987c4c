package pomelo

import "strconv"

// Member is one node as described by its membership record; Connections and Slots are those that its upstream announced.
type Member struct {
	VM               string `json:"vm"`
	AvailabilityZone string `json:"availability_zone"`
	// Region is the region of the availability zone, or empty if the platform states none.
	Region      string `json:"region,omitempty"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	Connections int    `json:"connections,omitempty"`
	// Draining members accept no new calls and own no resources.
	Draining bool `json:"draining,omitempty"`
	// Term counts how often this process has given up its ownership of all resources.
	Term int64 `json:"term,omitempty"`
	// SoleOwner marks that no other process can still act on the resources that this one owns by the member list, so that the next process on the VM can take them over without a wait.
	SoleOwner bool `json:"settled,omitempty"`
	// UpstreamID, UpstreamAddress and UpstreamStartedAt let a restarted node resume with the upstream known to the previous process.
	UpstreamID        string `json:"upstream_id,omitempty"`
	UpstreamAddress   string `json:"upstream_address,omitempty"`
	UpstreamStartedAt Millis `json:"upstream_born_ms,omitempty"`
	// UpstreamLeft marks a known upstream that accepts no new calls until it starts again.
	UpstreamLeft bool `json:"upstream_left,omitempty"`
	// UpstreamDraining marks a known upstream that has said that it drains, with the sequence number of that heartbeat; -1 lets any later one replace it.
	UpstreamDraining bool  `json:"upstream_draining,omitempty"`
	UpstreamSequence int64 `json:"upstream_sequence,omitempty"`
	// Withdrawals are the deregistrations of upstreams that the process did not know, as EncodeWithdrawals returns them.
	Withdrawals string `json:"withdrawals,omitempty"`
	// KeysRequired says that a policy known to the process has required keys, so that a later one without client accounts opens no route.
	KeysRequired bool `json:"keys_required,omitempty"`
	// Epoch is the store's epoch that the process knew when it wrote the record; a lower one than the store's marks a record of the copy from which the store returned.
	Epoch int64 `json:"epoch,omitempty"`
}

// Check returns a *Fault of KindBadRequest if the record names no member to use, as one of another writer may.
func (m Member) Check() error {
	switch {
	case !IsAddress(m.Address):
		return badMember("its address " + strconv.Quote(m.Address) + " is no host and port")
	case m.UpstreamAddress != "" && !IsAddress(m.UpstreamAddress):
		return badMember("its upstream's address " + strconv.Quote(m.UpstreamAddress) + " is no host and port")
	case m.Slots < 0 || m.Slots > MaxSlots:
		return badMember("its slots are " + strconv.Itoa(m.Slots))
	case m.UpstreamStartedAt < 0 || m.UpstreamStartedAt > MaxStartTime:
		return badMember("its upstream started at " + strconv.FormatInt(int64(m.UpstreamStartedAt), 10))
	}
	_, err := DecodeWithdrawals(m.Withdrawals)
	return err
}

// HasUsableUpstream reports whether the member's upstream, if it has one, still takes calls; the member itself may be draining.
func (m Member) HasUsableUpstream() bool {
	return m.UpstreamID != "" && !m.UpstreamLeft && !m.UpstreamDraining
}

func badMember(message string) error {
	return NewFault(KindBadRequest, message, "remove the record if no node of this system wrote it")
}

// SetDraining marks the member as draining or no longer so; a member that starts draining resigns.
func (m *Member) SetDraining(draining bool) {
	if draining && !m.Draining {
		m.Resign()
	}
	m.Draining = draining
}

// Resign ends the member's term and its ownership of all resources.
func (m *Member) Resign() {
	m.Term++
	m.SoleOwner = false
}

// Upstream is the announcement that an upstream sends to the node beside it; Address is its loopback host and port.
type Upstream struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// Membership lists the nodes of the fleet; it stays usable during an outage of the store.
type Membership interface {
	// Self returns this node's own record.
	Self() Member
	// Serving returns the members that serve the service and are not draining.
	Serving(service string) []Member
	// All returns every known member, including this node.
	All() []Member
	// ByFingerprint returns the member whose certificate has this fingerprint.
	ByFingerprint(fingerprint string) (Member, bool)
}
