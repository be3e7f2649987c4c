package setup

import "github.com/pomeloworks/pomelo"

// Units that a value is written in.
const (
	unitMillis = "ms"
	unitBytes  = "bytes"
	unitCount  = "count"
)

// Bounds of the numeric keys, in the key's own unit.
const (
	maxCount     = 1_000_000
	maxBytes     = 1 << 30
	maxMillis    = 3_600_000
	maxRetries   = 10
	minHeadBytes = 1024
)

// descriptor describes one key: it drives reading, checking and the test of the documentation.
type descriptor struct {
	section  string
	key      string
	initial  string
	unit     string
	required bool
	least    int64
	most     int64
	check    func(d descriptor, value string) *problem
	field    func(s *pomelo.Settings) any
}

var descriptors = []descriptor{
	{
		section: "node", key: "vm", required: true, check: checkText,
		field: func(s *pomelo.Settings) any { return &s.Node.VM },
	},
	{
		section: "node", key: "availability_zone", required: true, check: checkText,
		field: func(s *pomelo.Settings) any { return &s.Node.AvailabilityZone },
	},
	{
		section: "node", key: "peer_address", required: true, check: checkPeerAddress,
		field: func(s *pomelo.Settings) any { return &s.Node.PeerAddress },
	},
	{
		section: "node", key: "drain_grace_ms", initial: "1500", unit: unitMillis, most: maxMillis, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Node.DrainGrace },
	},
	{
		section: "store", key: "url", required: true, check: checkURL,
		field: func(s *pomelo.Settings) any { return &s.Store.URL },
	},
	{
		section: "store", key: "lease_ttl_ms", initial: "10000", unit: unitMillis, least: 1, most: maxMillis, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Store.LeaseTTL },
	},
	{
		section: "store", key: "watch_wait_ms", initial: "25000", unit: unitMillis, least: 1, most: maxMillis, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Store.WatchWait },
	},
	{
		section: "store", key: "timeout_ms", initial: "2000", unit: unitMillis, least: 1, most: maxMillis, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Store.Timeout },
	},
	{
		section: "caller", key: "address", required: true, check: checkAddress,
		field: func(s *pomelo.Settings) any { return &s.Caller.Address },
	},
	{
		section: "caller", key: "certificate_file", check: checkText,
		field: func(s *pomelo.Settings) any { return &s.Caller.CertificateFile },
	},
	{
		section: "caller", key: "private_key_file", check: checkText,
		field: func(s *pomelo.Settings) any { return &s.Caller.PrivateKeyFile },
	},
	{
		section: "upstream", key: "address", required: true, check: checkLoopback,
		field: func(s *pomelo.Settings) any { return &s.Upstream.Address },
	},
	{
		section: "admin", key: "address", required: true, check: checkAddress,
		field: func(s *pomelo.Settings) any { return &s.Admin.Address },
	},
	{
		section: "admin", key: "token_hashes", check: checkHashes,
		field: func(s *pomelo.Settings) any { return &s.Admin.TokenHashes },
	},
	{
		section: "limits", key: "body_bytes", initial: "1048576", unit: unitBytes, least: 1, most: maxBytes, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.BodyBytes },
	},
	{
		section: "limits", key: "head_bytes", initial: "65536", unit: unitBytes, least: minHeadBytes, most: maxBytes, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.HeadBytes },
	},
	{
		section: "limits", key: "timeout_ms", initial: "10000", unit: unitMillis, least: 1, most: maxMillis, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.Timeout },
	},
	{
		section: "limits", key: "retries", initial: "2", unit: unitCount, most: maxRetries, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.Retries },
	},
	{
		section: "limits", key: "queue", initial: "1000", unit: unitCount, most: maxCount, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.Queue },
	},
	{
		section: "limits", key: "concurrency", initial: "0", unit: unitCount, most: maxCount, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.Concurrency },
	},
	{
		section: "limits", key: "connect_timeout_ms", initial: "500", unit: unitMillis, least: 1, most: maxMillis, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.ConnectTimeout },
	},
	{
		section: "limits", key: "key_max_age_ms", initial: "5000", unit: unitMillis, least: 1, most: maxMillis, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.KeyMaxAge },
	},
	{
		section: "limits", key: "standing_ms", initial: "2000", unit: unitMillis, least: 1, most: maxMillis, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.OwnershipTTL },
	},
	{
		section: "limits", key: "control", initial: pomelo.ControlFull, check: checkControl,
		field: func(s *pomelo.Settings) any { return &s.Limits.Control },
	},
	{
		section: "limits", key: "off", check: checkParts,
		field: func(s *pomelo.Settings) any { return &s.Limits.Disabled },
	},
	{
		section: "log", key: "level", initial: "info", check: checkLevel,
		field: func(s *pomelo.Settings) any { return &s.Log.Level },
	},
}

// sectionNames lists the known sections in the table's order.
func sectionNames() []string {
	var names []string
	for _, d := range descriptors {
		if len(names) == 0 || names[len(names)-1] != d.section {
			names = append(names, d.section)
		}
	}
	return names
}

// keyNames lists the known keys of a section.
func keyNames(section string) []string {
	var names []string
	for _, d := range descriptors {
		if d.section == section {
			names = append(names, d.key)
		}
	}
	return names
}
