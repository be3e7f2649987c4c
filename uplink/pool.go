package uplink

import (
	"context"
	"net"
	"sync"

	"github.com/pomeloworks/pomelo"
)

// idleMost bounds the kept connections; more are closed after their call.
const idleMost = 512

// pool keeps the idle connections to one address, the newest first.
type pool struct {
	mu      sync.Mutex
	address string
	idle    []*conn
}

// take returns a kept connection that is still usable, or nil.
func (p *pool) take(address string, now pomelo.Millis) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.move(address)
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now < c.until && c.isClean() {
			return c
		}
		_ = c.Close()
	}
	return nil
}

func (p *pool) put(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if address != p.address || len(p.idle) >= idleMost {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// move drops the connections to another address.
func (p *pool) move(address string) {
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
	return newConn(c), nil
}
