package uplink

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

// maxHealthBytes limits the body of a response to a health check.
const maxHealthBytes = 64 << 10

// CheckHealth requests the upstream's health path on a connection of its own; its error says why the response states nothing about this upstream.
func (cl *Client) CheckHealth(ctx context.Context, u pomelo.Instance, path string) (pomelo.ResponseInfo, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+path, http.NoBody)
	if err != nil {
		return pomelo.ResponseInfo{}, errors.Wrap(err, "build the health check")
	}
	r.Close = true
	conn, err := cl.dial(ctx, u)
	if err != nil {
		return pomelo.ResponseInfo{}, errors.Wrap(err, "connect for the health check")
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := r.Write(conn); err != nil {
		return pomelo.ResponseInfo{}, errors.Wrap(err, "send the health check")
	}
	resp, _, err := conn.readHead(r, maxHeadBytes)
	if err != nil {
		return pomelo.ResponseInfo{}, errors.Newf("read the response to the health check: %s", pomelo.ErrorText(err))
	}
	// The body says nothing, but a response without its end is none.
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(nil, resp.Body, maxHealthBytes)); err != nil {
		return pomelo.ResponseInfo{}, errors.Newf("read the body of the response to the health check: %s", pomelo.ErrorText(err))
	}
	info, ok := cl.dialect.DecodeHealth(u.ID, resp.StatusCode, resp.Header)
	if !ok {
		return info, errors.Newf("status %d of another upstream, or without its warm-up", resp.StatusCode)
	}
	return info, nil
}
