package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
)

// request is the content of one arrival's request; every attempt sends the same.
type request struct {
	stream         pomelo.LoadStream
	nonce          string
	idempotencyKey string
	body           []byte
}

func newRequest(s pomelo.LoadStream) request {
	q := request{stream: s, nonce: uuid.NewString()}
	if s.BodyBytes > 0 {
		q.body = bytes.Repeat([]byte(q.nonce), s.BodyBytes/len(q.nonce)+1)[:s.BodyBytes]
	}
	if s.Idempotency {
		// Version 7 contains the time, by which a claim's owner distinguishes old keys from new ones.
		q.idempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	return q
}

// runRequest sends all attempts of an arrival's request; it uses the monotonic clock because latency is recorded in microseconds.
func (r *Runner) runRequest(ctx context.Context, a arrival) result {
	q := newRequest(r.plan.Streams[a.stream])
	start := time.Now()
	var total result
	for n := 0; ; n++ {
		target := r.plan.Targets[(a.target+n)%len(r.plan.Targets)]
		total.add(r.attempt(ctx, target, q))
		if n >= q.stream.Retry.Limit || !r.waitForRetry(ctx, q, total.last) {
			break
		}
	}
	total.took = time.Since(start)
	return total
}

func (r *Runner) attempt(ctx context.Context, target string, q request) outcome {
	limited, cancel := context.WithTimeout(ctx, timeout(q.stream).Duration())
	defer cancel()
	start := time.Now()
	h, err := q.build(limited, target)
	if err != nil {
		return failure(failureInvalidPlan)
	}
	r.delayClient(limited)
	defer r.delayClient(limited)
	a, err := r.client.Do(h)
	if err != nil {
		return failure(failureKind(limited))
	}
	defer func() { _ = a.Body.Close() }()
	o := classify(limited, q, a)
	o.took = time.Since(start)
	return o
}

// delayClient simulates the network delay between a client and a node, which loopback lacks.
func (r *Runner) delayClient(ctx context.Context) {
	if r.plan.ClientDelay > 0 {
		_ = r.clock.Sleep(ctx, r.plan.ClientDelay)
	}
}

func (q request) build(ctx context.Context, target string) (*http.Request, error) {
	h, err := http.NewRequestWithContext(ctx, q.stream.Method, target+q.stream.Path, bytes.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	// A body that cannot be rewound keeps the HTTP client from resending the request uncounted.
	h.Body = io.NopCloser(bytes.NewReader(q.body))
	h.GetBody = nil
	h.Header.Set(pomelo.FakeHeaderNonce, q.nonce)
	h.Header.Set(pomelo.HeaderTimeout, strconv.FormatInt(int64(timeout(q.stream)), 10))
	if q.stream.Key != "" {
		h.Header.Set(pomelo.HeaderKey, q.stream.Key)
	}
	if q.idempotencyKey != "" {
		h.Header.Set(pomelo.HeaderIdempotency, q.idempotencyKey)
	}
	return h, nil
}

func timeout(s pomelo.LoadStream) pomelo.Millis {
	if s.Timeout <= 0 {
		return defaultTimeout
	}
	return s.Timeout
}

// waitForRetry waits as the stream's retry kind demands and reports whether to try again.
func (r *Runner) waitForRetry(ctx context.Context, q request, o outcome) bool {
	if o.class == classComplete || o.class == classMismatched || ctx.Err() != nil {
		return false
	}
	switch q.stream.Retry.Kind {
	case pomelo.LoadRetryImmediate:
		return true
	case pomelo.LoadRetryCompliant:
		safe := o.ran == pomelo.RanNo || q.idempotencyKey != ""
		return safe && o.retryAfter > 0 && r.clock.Sleep(ctx, o.retryAfter) == nil
	}
	return false
}
