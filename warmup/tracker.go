package warmup

import "github.com/pomeloworks/pomelo"

const (
	// maxHeartbeatDelay is the time by which a heartbeat may be late, in milliseconds.
	maxHeartbeatDelay = pomelo.Millis(3_000)
	// checkInterval is the shortest time between two health checks, in milliseconds.
	checkInterval = pomelo.Millis(1_000)
)

// Tracker holds what is known of the coldness of one upstream; it is not safe for concurrent use. Times are in milliseconds on the caller's clock.
type Tracker struct {
	service   pomelo.TrafficService
	id        string
	startedAt pomelo.Millis
	stated    statement
	// assumed is an event after which the upstream may be cold; its source is empty without one.
	assumed event
	runs    runs
	check   check
}

// statement is until when the upstream is cold by its own statements.
type statement struct {
	until  pomelo.Millis
	source pomelo.WarmupSource
	// healthAt is the time of the last health response, or 0.
	healthAt pomelo.Millis
}

type event struct {
	at     pomelo.Millis
	source pomelo.WarmupSource
}

// check is the state of the health checks.
type check struct {
	isDue     bool
	isRunning bool
	// isOutdated marks a running check whose response may be from before a later event.
	isOutdated bool
	hasBegun   bool
	begunAt    pomelo.Millis
}

// New returns a tracker of an upstream of which nothing is known.
func New(opts ...func(*Tracker)) *Tracker {
	t := &Tracker{runs: newRuns()}
	for _, o := range opts {
		o(t)
	}
	return t
}

// SetService replaces the service's limit, duration and health path.
func (t *Tracker) SetService(s pomelo.TrafficService) {
	t.service = s
}

// Heartbeat records a heartbeat, which must not be older than the last one.
func (t *Tracker) Heartbeat(now pomelo.Millis, i pomelo.Instance) {
	until := now + i.WarmupLeft
	if !t.isAbout(i) {
		t.replace(i)
		t.stated = statement{until: until, source: pomelo.WarmupFromHeartbeat}
		return
	}
	if t.mayPrecedeKnowledge(now) {
		t.extend(until, pomelo.WarmupFromHeartbeat)
		return
	}
	t.assumed = event{}
	t.stated.until, t.stated.source = until, pomelo.WarmupFromHeartbeat
}

// mayPrecedeKnowledge reports whether a heartbeat of the known start may have been sent before the last event or health response; after a refused connection it always may.
func (t *Tracker) mayPrecedeKnowledge(now pomelo.Millis) bool {
	if t.assumed.source == pomelo.WarmupFromRefused && now < t.assumedUntil() {
		return true
	}
	if t.assumed.source != "" && now < t.assumed.at+maxHeartbeatDelay {
		return true
	}
	return t.stated.healthAt != 0 && now < t.stated.healthAt+maxHeartbeatDelay
}

// Refused records that the address of the upstream has refused a connection.
func (t *Tracker) Refused(now pomelo.Millis, id string, startedAt pomelo.Millis) {
	if id == t.id && startedAt == t.startedAt {
		t.assume(now, pomelo.WarmupFromRefused)
	}
}

// Resumed records that a restarted node resumes an upstream of which it has not heard.
func (t *Tracker) Resumed(now pomelo.Millis, i pomelo.Instance) {
	t.replace(i)
	t.assume(now, pomelo.WarmupFromResumed)
	t.check.isDue = true
}

// Restored records the end of an evacuation of the upstream's zone.
func (t *Tracker) Restored(now pomelo.Millis) {
	t.assume(now, pomelo.WarmupFromRestored)
	t.check.isDue = true
}

// Noticed records that the upstream stated so much of a warm-up to the node's previous process; it counts until the upstream itself states one.
func (t *Tracker) Noticed(now, left pomelo.Millis) {
	if left > 0 && (t.stated.source == "" || t.stated.source == pomelo.WarmupFromNotice) {
		t.extend(now+left, pomelo.WarmupFromNotice)
	}
}

// RunEnded records the run time of a call, in milliseconds; runs that have become slow make a health check due.
func (t *Tracker) RunEnded(now pomelo.Millis, route string, runTime pomelo.Millis) {
	if t.service.WarmupPerSecond <= 0 || t.Warmup(now).PerSecond > 0 {
		return
	}
	if t.runs.add(route, float64(runTime)) {
		t.check.isDue = true
	}
}

// TryCheck reports whether a health check is due, and counts it as running if so; HealthChecked must follow.
func (t *Tracker) TryCheck(now pomelo.Millis) bool {
	c := &t.check
	if !c.isDue || c.isRunning || t.service.WarmupPerSecond <= 0 || t.service.HealthPath == "" {
		return false
	}
	if c.hasBegun && now < c.begunAt+checkInterval {
		return false
	}
	*c = check{isRunning: true, hasBegun: true, begunAt: now}
	return true
}

// HealthChecked records the end of a health check; ok is false if the upstream did not state its warm-up.
func (t *Tracker) HealthChecked(now, left pomelo.Millis, ok bool) {
	isOutdated := t.check.isOutdated
	t.check.isRunning, t.check.isOutdated = false, false
	if !ok || isOutdated {
		return
	}
	t.assumed = event{}
	t.stated = statement{until: now + left, source: pomelo.WarmupFromHealth, healthAt: now}
}

// Warmup returns the limit while the upstream counts as cold, and the zero value otherwise.
func (t *Tracker) Warmup(now pomelo.Millis) pomelo.Warmup {
	until := max(t.stated.until, t.assumedUntil())
	if t.service.WarmupPerSecond <= 0 || now >= until {
		return pomelo.Warmup{}
	}
	return pomelo.Warmup{PerSecond: t.service.WarmupPerSecond, Until: until}
}

// Source returns what the time until which the upstream is cold is known from.
func (t *Tracker) Source() pomelo.WarmupSource {
	if t.assumedUntil() > t.stated.until {
		return t.assumed.source
	}
	return t.stated.source
}

func (t *Tracker) isAbout(i pomelo.Instance) bool {
	return t.id == i.ID && t.startedAt == i.StartedAt
}

// replace forgets the previous start; run times are kept, as both starts are of one service.
func (t *Tracker) replace(i pomelo.Instance) {
	t.id, t.startedAt = i.ID, i.StartedAt
	t.stated, t.assumed = statement{}, event{}
	t.check.isDue = false
	t.check.isOutdated = t.check.isRunning
}

func (t *Tracker) assume(now pomelo.Millis, source pomelo.WarmupSource) {
	t.assumed = event{at: now, source: source}
	t.check.isOutdated = t.check.isRunning
}

func (t *Tracker) extend(until pomelo.Millis, source pomelo.WarmupSource) {
	if until > t.stated.until {
		t.stated.until, t.stated.source = until, source
	}
}

func (t *Tracker) assumedUntil() pomelo.Millis {
	if t.assumed.source == "" {
		return 0
	}
	return t.assumed.at + t.service.WarmupTime
}
