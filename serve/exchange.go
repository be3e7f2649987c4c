package serve

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/hold"
	"github.com/pomeloworks/pomelo/strict"
)

func newClient(bodyLimit int64) *http.Client {
	return &http.Client{
		Transport: strict.New(&http.Transport{
			DialContext:         dialUpstream,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout.Duration(),
			DisableCompression:  true,
		}, strict.WithBodyLimit(bodyLimit)),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// exchange sends the call over loopback HTTP and reads the complete answer; a connection on which a call failed is not reused.
func (s *Server) exchange(ctx context.Context, c pomelo.Call, u pomelo.Upstream, token string) pomelo.Answer {
	var try attempt
	r, err := request(try.trace(ctx), c, u, token)
	if err != nil {
		return pomelo.Refuse(c.ID, pomelo.NewFault(pomelo.KindBadRequest, err.Error(), "send a valid method, path and headers"))
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return pomelo.Refuse(c.ID, noResponseFault(ctx, err, try.abandon()))
	}
	out, f := s.read(ctx, c, resp)
	_ = resp.Body.Close()
	if f != nil {
		try.abandon()
		return pomelo.Refuse(c.ID, f)
	}
	return out
}

func (s *Server) read(ctx context.Context, c pomelo.Call, resp *http.Response) (pomelo.Answer, *pomelo.Fault) {
	if id := resp.Header.Get(headerCallID); id != "" && id != c.ID {
		return pomelo.Answer{}, upstreamFault("the upstream answered another request", pomelo.RanUnknown)
	}
	length := resp.ContentLength
	if c.Method == http.MethodHead {
		length = 0
	}
	body, err := hold.FromContext(ctx).ReadAnswer(ctx, resp.Body, length, int64(s.bodyLimit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || errors.Is(err, budget.ErrBodyTooLarge) {
		return pomelo.Answer{}, upstreamFault("the upstream's answer is over the body limit", pomelo.RanYes)
	}
	if err != nil {
		return pomelo.Answer{}, truncatedFault(ctx, err)
	}
	return pomelo.Answer{
		CallID: c.ID,
		Status: resp.StatusCode,
		Header: pomelo.EndToEndHeaders(resp.Header),
		Body:   body,
	}, nil
}

func request(ctx context.Context, c pomelo.Call, u pomelo.Upstream, token string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+u.Address+c.Path, body(c))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	r.ContentLength = int64(len(c.Body))
	for k, v := range c.Header {
		r.Header[k] = v
	}
	r.Header.Set(pomelo.HeaderToken, token)
	r.Header.Set(pomelo.HeaderRootID, c.RootID)
	r.Header.Set(headerCallID, c.ID)
	return r, nil
}

// body hides the reader's type from net/http, which could otherwise rewind the body and send a non-idempotent request twice.
func body(c pomelo.Call) io.Reader {
	if len(c.Body) == 0 && !c.NonIdempotent {
		return nil
	}
	return io.NopCloser(bytes.NewReader(c.Body))
}

// noResponseFault returns the fault of a request that got no response header; only a request of which no byte was sent is certain not to have run.
func noResponseFault(ctx context.Context, err error, maybeSent bool) *pomelo.Fault {
	ran := pomelo.RanNo
	if maybeSent {
		ran = pomelo.RanUnknown
	}
	if ctx.Err() != nil {
		return canceledFault(ctx, ran)
	}
	if maybeSent {
		return upstreamFault("the upstream did not answer: "+pomelo.ErrorText(err), ran)
	}
	return pomelo.NewFault(pomelo.KindNoUpstream, "the upstream takes no connections: "+err.Error(), "send the request to another upstream")
}

// truncatedFault returns the fault of a response that ended early after its header; the header shows that the request ran.
func truncatedFault(ctx context.Context, err error) *pomelo.Fault {
	if ctx.Err() != nil {
		return canceledFault(ctx, pomelo.RanYes)
	}
	return upstreamFault("the upstream broke off its answer: "+pomelo.ErrorText(err), pomelo.RanYes)
}

func canceledFault(ctx context.Context, ran pomelo.Ran) *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindCanceled, "the request was cancelled at the upstream", "ask whether it ran before repeating it")
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f = pomelo.NewFault(pomelo.KindDeadline, "the request's time ran out at the upstream", "allow more time")
	}
	f.Ran = ran
	return f
}

func upstreamFault(message string, ran pomelo.Ran) *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindUpstreamFailed, message, "repeat the request if it is idempotent")
	f.Ran = ran
	return f
}
