package pomelo

import "slices"

// Settings are a node's settings as read from its INI file.
type Settings struct {
	Node     NodeSettings
	Store    StoreSettings
	Caller   CallerSettings
	Upstream UpstreamSettings
	Admin    AdminSettings
	Limits   LimitSettings
	Log      LogSettings
}

// NodeSettings identify the node and its address for peers.
type NodeSettings struct {
	VM               string
	AvailabilityZone string
	PeerAddress      string
	DrainGrace       Millis
}

// StoreSettings configure the client of the platform's store; LeaseTTL, WatchWait and Timeout are in milliseconds.
type StoreSettings struct {
	URL       string
	LeaseTTL  Millis
	WatchWait Millis
	Timeout   Millis
}

// CallerSettings configure the listener for callers; empty certificate files mean plain HTTP.
type CallerSettings struct {
	Address         string
	CertificateFile string
	PrivateKeyFile  string
}

// UpstreamSettings configure the loopback listener for the upstream's announcements and sub-calls.
type UpstreamSettings struct {
	Address string
}

// AdminSettings configure the administration listener; TokenHashes are hex SHA-256 hashes of operators' tokens.
type AdminSettings struct {
	Address     string
	TokenHashes []string
}

// LimitSettings bound requests and the node's own work; times are in milliseconds.
type LimitSettings struct {
	BodyBytes int `json:"body_bytes"`
	HeadBytes int `json:"head_bytes"`
	// MemoryMB and Descriptors are the memory in MiB and the number of descriptors that the process may use.
	MemoryMB    int `json:"memory_mb"`
	Descriptors int `json:"max_fds"`
	// StallTimeout is the time in which a body or the reader of an answer must make progress.
	StallTimeout   Millis `json:"stall_timeout_ms"`
	Timeout        Millis `json:"timeout_ms"`
	Retries        int    `json:"retries"`
	Queue          int    `json:"queue"`
	Concurrency    int    `json:"concurrency"`
	ConnectTimeout Millis `json:"connect_timeout_ms"`
	KeyMaxAge      Millis `json:"key_max_age_ms"`
	// OwnershipTTL is the time, in milliseconds, for which a confirmation of ownership stays valid.
	OwnershipTTL Millis `json:"standing_ms"`
	// Control is "full", or the baseline "fixed" or "none" for comparisons.
	Control string `json:"control"`
	// Disabled lists features of the full control that are switched off for comparisons.
	Disabled []string `json:"off,omitempty"`
}

// IsDisabled reports whether this feature of the full control is switched off.
func (l LimitSettings) IsDisabled(feature string) bool {
	return slices.Contains(l.Disabled, feature)
}

// LogSettings set the lowest log level that is written: debug, info or warn.
type LogSettings struct {
	Level string
}

// Values of LimitSettings.Control.
const (
	ControlFull  = "full"
	ControlFixed = "fixed"
	ControlNone  = "none"
)
