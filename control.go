package pomelo

import "context"

// Permit is the right to run one call at the upstream; End must be called exactly once.
type Permit interface {
	// Release reports the upstream's own time in milliseconds and whether its answer was whole, in time and still wanted.
	Release(own Millis, whole bool)
	// SetWaiting tells that the call now waits for its sub-calls, or no longer does; waiting, it takes none of the upstream's own time.
	SetWaiting(waiting bool)
}

// ConcurrencyLimiter decides which calls an upstream may run; the error is a *Fault of a call that did not run.
type ConcurrencyLimiter interface {
	Acquire(ctx context.Context, c Call) (Permit, error)
	// SetCapacity sets the caps that the upstream announced; slots and connections of 0 mean unknown.
	SetCapacity(slots, connections int)
	// ShedThreshold is the position in the order of shedding, 0 to 1, below which calls of the account are being refused.
	ShedThreshold(account string) float64
}

// Picker chooses the member to send a call to, leaving out those tried before.
type Picker interface {
	Pick(c Call, members []Member, tried []string) (Member, bool)
	// Sent and Done bracket each call so that outstanding work is known and answers are learned from; took is in milliseconds.
	Sent(m Member)
	Done(m Member, c Call, took Millis, a Answer)
}

// RetryBudget bounds the retries to each service by what it is called; Retry counts the retry that it allows.
type RetryBudget interface {
	RecordCall(service string)
	TryRetry(service string) bool
}

// RateLimiter admits a client account's requests over the whole fleet; the error is a *Fault of KindRateExceeded.
type RateLimiter interface {
	Admit(ctx context.Context, account string) error
	// Refund gives back what Admit took for a request that did not run, as far as it still can be used.
	Refund(account string)
}

// Metrics takes counts and measured times in milliseconds by name.
type Metrics interface {
	Count(name string, n int64)
	Time(name string, took float64)
	Gauge(name string, value float64)
}

// Logger writes one line of key=value pairs for each event, beginning with level and event.
type Logger interface {
	Info(event string, keyvals ...any)
	Warn(event string, keyvals ...any)
	Debug(event string, keyvals ...any)
}
