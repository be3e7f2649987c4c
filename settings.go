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

// NodeSettings say who the node is and where its peers reach it.
type NodeSettings struct {
	VM               string
	AvailabilityZone string
	PeerAddress      string
	DrainGrace       Millis
}

// StoreSettings say where the platform's store is; LeaseTTL and WatchWait are in milliseconds.
type StoreSettings struct {
	URL       string
	LeaseTTL  Millis
	WatchWait Millis
	Timeout   Millis
}

// CallerSettings are of the listener for callers; empty certificate files mean plain HTTP.
type CallerSettings struct {
	Address         string
	CertificateFile string
	PrivateKeyFile  string
}

// UpstreamSettings are of the loopback listener for the upstream's announcements and sub-calls.
type UpstreamSettings struct {
	Address string
}

// AdminSettings are of the administration listener; TokenHashes are hex SHA-256 of operators' tokens.
type AdminSettings struct {
	Address     string
	TokenHashes []string
}

// LimitSettings bound what a request may ask for.
type LimitSettings struct {
	BodyBytes      int    `json:"body_bytes"`
	HeadBytes      int    `json:"head_bytes"`
	Timeout        Millis `json:"timeout_ms"`
	Retries        int    `json:"retries"`
	Queue          int    `json:"queue"`
	Concurrency    int    `json:"concurrency"`
	ConnectTimeout Millis `json:"connect_timeout_ms"`
	KeyMaxAge      Millis `json:"key_max_age_ms"`
	OwnershipTTL   Millis `json:"standing_ms"`
	// Control is "full", or the baseline "fixed" or "none" of measurements.
	Control string `json:"control"`
	// Disabled lists parts of the full control that a measurement switches off.
	Disabled []string `json:"off,omitempty"`
}

// IsDisabled reports whether a measurement switches this part of the full control off.
func (l LimitSettings) IsDisabled(part string) bool {
	return slices.Contains(l.Disabled, part)
}

// LogSettings choose the least level that is written: debug, info or warn.
type LogSettings struct {
	Level string
}

// The values of LimitSettings.Control.
const (
	ControlFull  = "full"
	ControlFixed = "fixed"
	ControlNone  = "none"
)
