package pomelo

import "context"

// Permit allows one call to run at the upstream; Release must be called exactly once.
type Permit interface {
	// Release reports the upstream's self time in milliseconds, and whether its answer was complete, in time and still wanted.
	Release(selfTime Millis, complete bool)
	// SetWaiting reports that the call starts or stops waiting for sub-calls; time spent waiting is not self time.
	SetWaiting(waiting bool)
}

// ConcurrencyLimiter limits the calls that run at an upstream at the same time.
type ConcurrencyLimiter interface {
	// Acquire blocks until the call may run; its error is a *Fault, and the call then did not run.
	Acquire(ctx context.Context, c Call) (Permit, error)
	// SetCapacity sets the slots and connections that the upstream announced; 0 means unknown.
	SetCapacity(slots, connections int)
	// ShedThreshold returns the position in the shedding order, 0 to 1, below which the account's calls are refused.
	ShedThreshold(account string) float64
}

// PacedLimiter is a ConcurrencyLimiter that also limits the calls that start in a second.
type PacedLimiter interface {
	ConcurrencyLimiter
	// SetRate sets the limit that the upstream states.
	SetRate(r RateStatement)
	// SetWarmup limits the starts while the upstream is cold; the zero value ends that.
	SetWarmup(w Warmup)
	// RecentStarts returns the number of calls that have started in the last second.
	RecentStarts() int
	// Capacity returns the number of calls that the upstream can run at the same time: its slots, or fewer under a stated limit or while the upstream is cold.
	Capacity() float64
}

// Picker chooses the member to send a call to, except those already tried.
type Picker interface {
	Pick(c Call, members []Member, tried []string) (Member, bool)
	// Sent and Done must bracket each call, so that the picker knows the calls in flight and learns from the answers; took is in milliseconds.
	Sent(m Member)
	Done(m Member, c Call, took Millis, a Answer)
}

// RetryBudget limits the retries to each service to a share of the calls to it.
type RetryBudget interface {
	// RecordCall counts a first attempt to the service.
	RecordCall(service string)
	// TryRetry reports whether the call may be sent to its service once more now, and counts the retry if so.
	TryRetry(c Call) bool
}

// RateLimiter enforces each client account's rate over the whole fleet.
type RateLimiter interface {
	// Admit takes a token of the call's account; its error is a *Fault of KindRateExceeded.
	Admit(ctx context.Context, c Call) error
	// Refund returns the token of a request that did not run, if it can still be used.
	Refund(account string)
}

// Metrics records counters, gauges and durations in milliseconds by name.
type Metrics interface {
	Count(name string, n int64)
	Time(name string, took float64)
	Gauge(name string, value float64)
}

// Logger writes one line of key=value pairs per event, starting with level and event.
type Logger interface {
	Info(event string, keyvals ...any)
	Warn(event string, keyvals ...any)
	Debug(event string, keyvals ...any)
}
