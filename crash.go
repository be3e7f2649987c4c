package pomelo

// CrashTTL is the time, in milliseconds, for which a crash is held against its suspects.
const CrashTTL = Millis(600_000)

// Crash is the end of an upstream's process while it ran calls.
type Crash struct {
	VM         string `json:"vm"`
	UpstreamID string `json:"upstream_id"`
	StartedAt  Millis `json:"upstream_born_ms"`
	// Suspects are the calls that ran, any of which may have caused the crash.
	Suspects []Fingerprint `json:"suspects"`
}
