package dialer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/quic-go/quic-go"
)

// A connection with waiting streams and no answer for defaultPingAfter is pinged, and is unresponsive after defaultPingTimeout without a reply; both are in milliseconds.
const (
	defaultPingAfter   = pomelo.Millis(200)
	defaultPingTimeout = pomelo.Millis(500)
)

// peerConn is one connection with the streams that wait on it; once it is unresponsive its streams are unblocked and no stream is added.
type peerConn struct {
	peer         *peer
	conn         *quic.Conn
	mu           sync.Mutex
	waiting      map[*quic.Stream]bool
	answers      int
	monitored    bool
	unresponsive bool
}

func newPeerConn(p *peer, conn *quic.Conn) *peerConn {
	return &peerConn{peer: p, conn: conn, waiting: map[*quic.Stream]bool{}}
}

func (c *peerConn) isUsable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unresponsive && c.conn.Context().Err() == nil
}

// handshakeRejected reports whether the peer has rejected the handshake, and thus has accepted no stream of this connection; streamErr is the error of one of its streams.
func (c *peerConn) handshakeRejected(streamErr error) bool {
	return isHandshakeRejection(streamErr) || isHandshakeRejection(context.Cause(c.conn.Context()))
}

func isHandshakeRejection(err error) bool {
	var e *quic.TransportError
	return errors.As(err, &e) && e.Remote && e.ErrorCode.IsCryptoError()
}

// addStream registers a waiting stream and starts the monitor if it does not run.
func (c *peerConn) addStream(s *quic.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[s] = true
	if c.unresponsive {
		unblock(s)
		return
	}
	if !c.monitored {
		c.monitored = true
		go c.monitor()
	}
}

// removeStream ends the wait of a stream, and closes an unresponsive connection with its last one.
func (c *peerConn) removeStream(s *quic.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, s)
	if c.unresponsive && len(c.waiting) == 0 {
		_ = c.conn.CloseWithError(codeClosed, "replaced")
	}
}

func (c *peerConn) recordAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
}

// monitor pings the peer whenever streams have waited without any answer, and replaces the connection if the ping fails; it ends when no stream waits.
func (c *peerConn) monitor() {
	previous := 0
	for c.conn.Context().Err() == nil {
		_ = c.peer.pool.clock.Sleep(c.conn.Context(), c.peer.pool.pingAfter)
		answers, idle := c.progress()
		if idle {
			return
		}
		if answers == previous && !c.ping() && c.isUnchanged(answers) {
			c.peer.replace(c)
			return
		}
		previous = answers
	}
}

// progress returns the number of answers so far, and whether no stream waits, in which case the monitor must end.
func (c *peerConn) progress() (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) == 0 {
		c.monitored = false
		return c.answers, true
	}
	return c.answers, false
}

func (c *peerConn) isUnchanged(answers int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers == answers
}

func (c *peerConn) ping() bool {
	ctx, cancel := context.WithTimeout(c.conn.Context(), c.peer.pool.pingTimeout.Duration())
	defer cancel()
	s, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		return false
	}
	var pong bool
	return c.peer.pool.exchange(ctx, s, pomelo.MessagePing, true, &pong) == nil
}

// retire unblocks the waiting streams without a message to the peer, which would take a reset stream for a cancelled call.
func (c *peerConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsive = true
	for s := range c.waiting {
		unblock(s)
	}
	if len(c.waiting) == 0 {
		_ = c.conn.CloseWithError(codeClosed, "replaced")
	}
}

// unblock makes pending reads and writes of the stream fail at once.
func unblock(s *quic.Stream) {
	_ = s.SetDeadline(time.Unix(1, 0))
}
