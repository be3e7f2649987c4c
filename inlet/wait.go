package inlet

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

// errEvicted ends the reading of a connection that was closed, or of a request that was refused, for want of memory or descriptors.
var errEvicted = errors.New("the connection was evicted")

var _ pomelo.ClientConn = (*conn)(nil)

// Wait implements pomelo.ClientConn.
func (c *conn) Wait() pomelo.ClientWait {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return pomelo.ClientWait{}
	}
	if since := c.writeStall.Load(); since != 0 {
		return pomelo.ClientWait{Kind: pomelo.WaitReader, Since: pomelo.Millis(since), Bytes: c.heldBytes()}
	}
	if q := c.incoming; q != nil && !q.evicted {
		return pomelo.ClientWait{Kind: pomelo.WaitRequest, Since: q.stalledSince, Bytes: q.memory.Bytes()}
	}
	if c.inFlight == 0 && c.incoming == nil && !c.closing {
		kind := pomelo.WaitNew
		if c.hasHadRequest {
			kind = pomelo.WaitIdle
		}
		return pomelo.ClientWait{Kind: kind, Since: c.idleSince, Bytes: ConnBytes}
	}
	return pomelo.ClientWait{}
}

// heldBytes returns the memory of the connection and its requests; mu must be locked.
func (c *conn) heldBytes() int64 {
	n := int64(ConnBytes)
	for h := range c.replies {
		n += h.Bytes()
	}
	if c.incoming != nil {
		n += c.incoming.memory.Bytes()
	}
	return n
}

// Evict implements pomelo.ClientConn.
func (c *conn) Evict(w pomelo.ClientWait) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return false
	}
	switch w.Kind {
	case pomelo.WaitReader:
		if c.writeStall.Load() != int64(w.Since) {
			return false
		}
		c.abandon()
		return true
	case pomelo.WaitRequest:
		return c.refuseIncoming(w)
	case pomelo.WaitNew, pomelo.WaitIdle:
		if c.inFlight > 0 || c.incoming != nil || c.idleSince != w.Since {
			return false
		}
		c.abandon()
		return true
	}
	return false
}

// refuseIncoming refuses the request that is being read, behind the replies of those before it; mu must be locked.
func (c *conn) refuseIncoming(w pomelo.ClientWait) bool {
	q := c.incoming
	if q == nil || q.evicted || q.stalledSince != w.Since {
		return false
	}
	q.evicted = true
	q.memory.Release()
	_ = c.SetReadDeadline(time.Unix(1, 0))
	return true
}

// abandon resets the connection and gives back its memory at once; mu must be locked.
func (c *conn) abandon() {
	c.evicted = true
	for h := range c.replies {
		h.Release()
	}
	if c.incoming != nil {
		c.incoming.memory.Release()
	}
	c.memory.Release()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
