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

// request is one arrival's fixed content; every attempt sends the same.
type request struct {
	stream pomelo.LoadStream
	nonce  string
	key    string
	body   []byte
}

func newRequest(s pomelo.LoadStream) request {
	q := request{stream: s, nonce: uuid.NewString()}
	if s.BodyBytes > 0 {
		q.body = bytes.Repeat([]byte(q.nonce), s.BodyBytes/len(q.nonce)+1)[:s.BodyBytes]
	}
	if s.Idempotency {
		// Version 7 holds the time, by which a claim's owner can tell old keys from new.
		q.key = uuid.Must(uuid.NewV7()).String()
	}
	return q
}

// request runs an arrival to its last attempt; the time is read from the monotonic clock because latency is kept in microseconds.
func (r *Runner) request(ctx context.Context, a arrival) result {
	q := newRequest(r.plan.Streams[a.stream])
	began := time.Now()
	var total result
	for n := 0; ; n++ {
		target := r.plan.Targets[(a.target+n)%len(r.plan.Targets)]
		total.add(r.attempt(ctx, target, q))
		if n >= q.stream.Retry.Limit || !r.retry(ctx, q, total.last) {
			break
		}
	}
	total.took = time.Since(began)
	return total
}

func (r *Runner) attempt(ctx context.Context, target string, q request) outcome {
	limited, cancel := context.WithTimeout(ctx, timeout(q.stream).Duration())
	defer cancel()
	began := time.Now()
	h, err := q.build(limited, target)
	if err != nil {
		return failure(failedPlan)
	}
	r.travel(limited)
	defer r.travel(limited)
	a, err := r.client.Do(h)
	if err != nil {
		return failure(failureOf(limited))
	}
	defer func() { _ = a.Body.Close() }()
	o := judge(limited, q, a)
	o.took = time.Since(began)
	return o
}

// travel is the way between a client and a node, which loopback lacks.
func (r *Runner) travel(ctx context.Context) {
	if r.plan.ClientDelay > 0 {
		_ = r.clock.Sleep(ctx, r.plan.ClientDelay)
	}
}

func (q request) build(ctx context.Context, target string) (*http.Request, error) {
	h, err := http.NewRequestWithContext(ctx, q.stream.Method, target+q.stream.Path, bytes.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	// A body that cannot be rewound keeps the client from resending by itself, uncounted.
	h.Body = io.NopCloser(bytes.NewReader(q.body))
	h.GetBody = nil
	h.Header.Set(pomelo.FakeHeaderNonce, q.nonce)
	h.Header.Set(pomelo.HeaderTimeout, strconv.FormatInt(int64(timeout(q.stream)), 10))
	if q.stream.Key != "" {
		h.Header.Set(pomelo.HeaderKey, q.stream.Key)
	}
	if q.key != "" {
		h.Header.Set(pomelo.HeaderIdempotency, q.key)
	}
	return h, nil
}

func timeout(s pomelo.LoadStream) pomelo.Millis {
	if s.Timeout <= 0 {
		return defaultTimeout
	}
	return s.Timeout
}

// retry waits as the stream's kind of client does and tells whether to try again.
func (r *Runner) retry(ctx context.Context, q request, o outcome) bool {
	if o.class == classWhole || o.class == classWrong || ctx.Err() != nil {
		return false
	}
	switch q.stream.Retry.Kind {
	case pomelo.LoadRetryImmediate:
		return true
	case pomelo.LoadRetryCompliant:
		safe := o.ran == pomelo.RanNo || q.key != ""
		return safe && o.retryAfter > 0 && r.clock.Sleep(ctx, o.retryAfter) == nil
	}
	return false
}
