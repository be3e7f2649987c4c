package kvhttp

import (
	"context"
	"net"

	"github.com/pomeloworks/pomelo"
)

const bytesMetric = "store.bytes"

// countingConn counts the bytes read and written on a connection.
type countingConn struct {
	net.Conn
	metrics pomelo.Metrics
}

func countingDialer(m pomelo.Metrics) func(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, metrics: m}, nil
	}
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.metrics.Count(bytesMetric, int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.metrics.Count(bytesMetric, int64(n))
	return n, err
}
