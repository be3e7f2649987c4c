package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

type class int

const (
	classComplete class = iota
	classRefused
	classFailed
	classMismatched
)

// Kinds of failure that the generator itself detects: the system sent no refusal that says whether the request ran.
const (
	failureTimeout     pomelo.Kind = "timeout"
	failureConnection  pomelo.Kind = "connection"
	failureTruncated   pomelo.Kind = "half_answer"
	failureInvalidPlan pomelo.Kind = "bad_plan"
	statusPrefix                   = "status_"
)

// outcome is the outcome of one attempt.
type outcome struct {
	class      class
	kind       pomelo.Kind
	ran        pomelo.Ran
	retryAfter pomelo.Millis
	rootID     string
	took       time.Duration
}

// result is the result of a request: its last outcome and its number of attempts.
type result struct {
	last     outcome
	attempts int64
	refusals []time.Duration
	took     time.Duration
}

func (t *result) add(o outcome) {
	t.last = o
	t.attempts++
	if o.class == classRefused {
		t.refusals = append(t.refusals, o.took)
	}
}

func failure(k pomelo.Kind) outcome {
	return outcome{class: classFailed, kind: k, ran: pomelo.RanUnknown}
}

func failureKind(ctx context.Context) pomelo.Kind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failureTimeout
	}
	return failureConnection
}

func classify(ctx context.Context, q request, a *http.Response) outcome {
	body, err := io.ReadAll(a.Body)
	if err != nil && ctx.Err() != nil {
		return failure(failureKind(ctx))
	}
	if err != nil {
		return failure(failureTruncated)
	}
	if !isSuccess(a.StatusCode) {
		return classifyRefusal(a, body)
	}
	var found pomelo.FakeAnswer
	if json.Unmarshal(body, &found) != nil || !q.matches(a.Header.Get(pomelo.HeaderRootID), found) {
		return outcome{class: classMismatched}
	}
	return outcome{class: classComplete, ran: pomelo.RanYes, rootID: found.RootID}
}

// classifyRefusal counts an error response as a refusal only if it says whether the request ran, and as a failure otherwise.
func classifyRefusal(a *http.Response, body []byte) outcome {
	o := outcome{class: classRefused, kind: pomelo.Kind(statusPrefix + strconv.Itoa(a.StatusCode))}
	var f pomelo.Fault
	if json.Unmarshal(body, &f) == nil && f.Kind != "" {
		o.kind = f.Kind
	}
	o.ran = pomelo.Ran(a.Header.Get(pomelo.HeaderRan))
	if o.ran == "" {
		o.class = classFailed
		o.ran = pomelo.RanUnknown
	}
	if s, err := strconv.ParseInt(a.Header.Get("Retry-After"), 10, 64); err == nil {
		o.retryAfter = pomelo.Millis(s * millisPerSecond)
	}
	return o
}

func (q request) matches(root string, a pomelo.FakeAnswer) bool {
	sum := sha256.Sum256(q.body)
	if a.BodySHA256 != hex.EncodeToString(sum[:]) {
		return false
	}
	// A repeat with an idempotency key gets the answer of the attempt that ran, with the root id of that attempt.
	if q.idempotencyKey == "" && root != "" && a.RootID != root {
		return false
	}
	return sameRequest(a, q.nonce, a.RootID)
}

// sameRequest reports whether the answer and all its sub-answers are of the same root request.
func sameRequest(a pomelo.FakeAnswer, nonce, root string) bool {
	if a.Nonce != nonce || a.RootID != root {
		return false
	}
	for _, s := range a.Answers {
		if !sameRequest(s, nonce, root) {
			return false
		}
	}
	return true
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
