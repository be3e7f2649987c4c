package pomelo

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind names a class of faults; its values are stable and safe to match on.
type Kind string

// Kinds of faults reported to callers and operators.
const (
	KindNoKey                Kind = "no_key"
	KindKeyUnknown           Kind = "key_unknown"
	KindKeyWithdrawn         Kind = "key_withdrawn"
	KindNoRoute              Kind = "no_route"
	KindNoUpstream           Kind = "no_upstream"
	KindBadRequest           Kind = "bad_request"
	KindTooLarge             Kind = "too_large"
	KindBadCallToken         Kind = "bad_call_token"
	KindOverload             Kind = "overload"
	KindRateExceeded         Kind = "rate_exceeded"
	KindDeadline             Kind = "deadline"
	KindDraining             Kind = "draining"
	KindPeerLost             Kind = "peer_lost"
	KindUpstreamFailed       Kind = "upstream_broken"
	KindInProgress           Kind = "in_progress"
	KindIdempotencyKeyReused Kind = "idempotency_key_reused"
	KindInDoubt              Kind = "in_doubt"
	KindNotAuthoritative     Kind = "no_standing"
	KindCanceled             Kind = "canceled"
	KindConflict             Kind = "conflict"
	KindNotFound             Kind = "not_found"
	KindStoreUnavailable     Kind = "store_unavailable"
	KindWatchCompacted       Kind = "watch_compacted"
	KindLeaseExpired         Kind = "lease_lapsed"
	KindBadSettings          Kind = "bad_settings"
	KindBadCommand           Kind = "bad_command"
	KindUnauthorized         Kind = "unauthorized"
	KindInternal             Kind = "internal"
	KindProtocol             Kind = "protocol"
	KindNotApplied           Kind = "not_in_force"
	KindInvariantViolated    Kind = "promise_broken"
	KindRetriesExceeded      Kind = "retries_exceeded"
	KindBlocked              Kind = "blocked"
)

// Ran states whether a request may have run at an upstream.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Fault is a typed error with a message and a remedy; RetryAfter is in milliseconds, 0 when retrying does not help.
type Fault struct {
	Kind       Kind   `cbor:"1,keyasint" json:"kind"`
	Message    string `cbor:"2,keyasint" json:"message"`
	Remedy     string `cbor:"3,keyasint" json:"remedy"`
	Ran        Ran    `cbor:"4,keyasint" json:"ran"`
	RetryAfter Millis `cbor:"5,keyasint,omitempty" json:"retry_after_ms,omitempty"`
}

// Error returns the kind, message and remedy on one line.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s: %s; %s", f.Kind, f.Message, f.Remedy)
}

// NewFault returns a fault of the given kind for a request that did not run.
func NewFault(kind Kind, message, remedy string) *Fault {
	return &Fault{Kind: kind, Message: message, Remedy: remedy, Ran: RanNo}
}

// FaultOf returns the fault that err wraps, or a KindInternal fault with an unknown outcome.
func FaultOf(err error) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return &Fault{
		Kind:    KindInternal,
		Message: err.Error(),
		Remedy:  "see the node's log; report it if it stays",
		Ran:     RanUnknown,
	}
}

// IsKind reports whether err wraps a fault of the given kind.
func IsKind(err error, kind Kind) bool {
	var f *Fault
	return errors.As(err, &f) && f.Kind == kind
}
