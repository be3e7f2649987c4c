package strict

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

// Limits in bytes; net/http has a limit of 10 MiB for heads and none for bodies.
const (
	maxHeadBytes     = 64 << 10
	defaultBodyBytes = 16 << 20
)

// Transport is an http.RoundTripper that returns only responses whose head is valid, and limits their size.
type Transport struct {
	next      *http.Transport
	bodyBytes int64
}

var _ http.RoundTripper = (*Transport)(nil)

// New returns a Transport over next, whose limit for heads it sets; the default limit for bodies is 16 MiB.
func New(next *http.Transport, opts ...func(*Transport)) *Transport {
	next.MaxResponseHeaderBytes = maxHeadBytes
	t := &Transport{next: next, bodyBytes: defaultBodyBytes}
	for _, o := range opts {
		o(t)
	}
	return t
}

// WithBodyLimit sets the number of bytes of a body after which reading it returns *http.MaxBytesError.
func WithBodyLimit(n int64) func(*Transport) {
	return func(t *Transport) { t.bodyBytes = n }
}

// RoundTrip implements http.RoundTripper; a request whose response has an invalid head may have run.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := pomelo.ValidateResponse(resp); err != nil {
		_ = resp.Body.Close()
		// net/http has made the connection idle already if the response has no body.
		t.next.CloseIdleConnections()
		return nil, errors.Wrap(err, "invalid response")
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, t.bodyBytes)
	return resp, nil
}
