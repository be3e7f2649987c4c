package setup

import (
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/room"
)

// Units of the values.
const (
	unitMillis    = "ms"
	unitBytes     = "bytes"
	unitCount     = "count"
	unitMebibytes = "MiB"
)

// Limits of numeric keys, in the unit of the key.
const (
	maxCount     = 1_000_000
	maxBytes     = 1 << 30
	maxMillis    = 3_600_000
	maxRetries   = 10
	minHeadBytes = 1024
	minMemoryMB  = 64
	maxMemoryMB  = 1 << 20
)

// descriptor describes one key of the settings file for reading and checking, and for the test of the example file.
type descriptor struct {
	section      string
	key          string
	defaultValue string
	unit         string
	required     bool
	minValue     int64
	maxValue     int64
	check        func(d descriptor, value string) *problem
	field        func(s *pomelo.Settings) any
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
		section: "node", key: "drain_grace_ms", defaultValue: "1500", unit: unitMillis, maxValue: maxMillis, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Node.DrainGrace },
	},
	{
		section: "store", key: "url", required: true, check: checkURL,
		field: func(s *pomelo.Settings) any { return &s.Store.URL },
	},
	{
		section: "store", key: "lease_ttl_ms", defaultValue: "10000", unit: unitMillis, minValue: 1, maxValue: maxMillis, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Store.LeaseTTL },
	},
	{
		section: "store", key: "watch_wait_ms", defaultValue: "25000", unit: unitMillis, minValue: 1, maxValue: maxMillis, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Store.WatchWait },
	},
	{
		section: "store", key: "timeout_ms", defaultValue: "2000", unit: unitMillis, minValue: 1, maxValue: maxMillis, check: checkNumber,
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
		section: "limits", key: "body_bytes", defaultValue: "1048576", unit: unitBytes, minValue: 1, maxValue: maxBytes, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.BodyBytes },
	},
	{
		section: "limits", key: "head_bytes", defaultValue: "65536", unit: unitBytes, minValue: minHeadBytes, maxValue: maxBytes, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.HeadBytes },
	},
	{
		section: "limits", key: "memory_mb", defaultValue: "512", unit: unitMebibytes, minValue: minMemoryMB, maxValue: maxMemoryMB, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.MemoryMB },
	},
	{
		section: "limits", key: "max_fds", defaultValue: "4096", unit: unitCount, minValue: room.MinDescriptors, maxValue: maxCount, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.Descriptors },
	},
	{
		section: "limits", key: "stall_timeout_ms", defaultValue: "20000", unit: unitMillis, minValue: 1, maxValue: maxMillis, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.StallTimeout },
	},
	{
		section: "limits", key: "timeout_ms", defaultValue: "10000", unit: unitMillis, minValue: 1, maxValue: maxMillis, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.Timeout },
	},
	{
		section: "limits", key: "retries", defaultValue: "2", unit: unitCount, maxValue: maxRetries, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.Retries },
	},
	{
		section: "limits", key: "queue", defaultValue: "1000", unit: unitCount, maxValue: maxCount, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.Queue },
	},
	{
		section: "limits", key: "concurrency", defaultValue: "0", unit: unitCount, maxValue: maxCount, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.Concurrency },
	},
	{
		section: "limits", key: "connect_timeout_ms", defaultValue: "500", unit: unitMillis, minValue: 1, maxValue: maxMillis, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.ConnectTimeout },
	},
	{
		section: "limits", key: "key_max_age_ms", defaultValue: "5000", unit: unitMillis, minValue: 1, maxValue: maxMillis, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.KeyMaxAge },
	},
	{
		section: "limits", key: "standing_ms", defaultValue: "2000", unit: unitMillis, minValue: 1, maxValue: maxMillis, check: checkNumber,
		field: func(s *pomelo.Settings) any { return &s.Limits.OwnershipTTL },
	},
	{
		section: "limits", key: "control", defaultValue: pomelo.ControlFull, check: checkControl,
		field: func(s *pomelo.Settings) any { return &s.Limits.Control },
	},
	{
		section: "limits", key: "off", check: checkFeatures,
		field: func(s *pomelo.Settings) any { return &s.Limits.Disabled },
	},
	{
		section: "log", key: "level", defaultValue: "info", check: checkLevel,
		field: func(s *pomelo.Settings) any { return &s.Log.Level },
	},
}

// sectionNames returns the known sections in the order of descriptors.
func sectionNames() []string {
	var names []string
	for _, d := range descriptors {
		if len(names) == 0 || names[len(names)-1] != d.section {
			names = append(names, d.section)
		}
	}
	return names
}

// keyNames returns the known keys of a section, or nil for an unknown section.
func keyNames(section string) []string {
	var names []string
	for _, d := range descriptors {
		if d.section == section {
			names = append(names, d.key)
		}
	}
	return names
}
