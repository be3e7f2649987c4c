package uplink

import (
	"context"
	"net"
	"slices"
	"sync"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/reset"
)

// maxIdleConns limits the idle connections; further ones are closed after their call.
const maxIdleConns = 512

// pool holds the idle connections to one address and reuses the most recently used one first.
type pool struct {
	mu      sync.Mutex
	address string
	idle    []*conn
}

// get returns an idle connection that is still usable and on which the upstream has not rejected the call, or nil. A rejection that the upstream repeats late bears the call's id, and could be taken for the response to its next attempt.
func (p *pool) get(address string, now pomelo.Millis, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setAddress(address)
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.hasRejected(id) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if now < c.reusableUntil && c.hasNoInput() {
			return c
		}
		_ = c.Close()
	}
	return nil
}

func (p *pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if address != p.address || len(p.idle) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// setAddress closes the idle connections if the address has changed.
func (p *pool) setAddress(address string) {
	if address == p.address {
		return
	}
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
	p.address = address
}

func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout.Duration(), KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(reset.New(c)), nil
}
