package strict

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

// Transport is an http.RoundTripper that returns only responses whose head is valid.
type Transport struct {
	next *http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// New returns a Transport over next.
func New(next *http.Transport) *Transport {
	return &Transport{next: next}
}

// RoundTrip implements http.RoundTripper; a request whose response has an invalid head may have run.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := pomelo.ValidateResponse(resp); err != nil {
		_ = resp.Body.Close()
		// A connection without a body to read is idle already.
		t.next.CloseIdleConnections()
		return nil, errors.Wrap(err, "invalid response")
	}
	return resp, nil
}
