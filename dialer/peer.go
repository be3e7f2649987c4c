package dialer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/quic-go/quic-go"
)

// peer holds the current connection to a member, which is replaced when it is closed or unresponsive.
type peer struct {
	pool    *Pool
	member  pomelo.Member
	mu      sync.Mutex
	current *peerConn
	dialing chan struct{}
	// dialStart is the time at which the last dial began.
	dialStart pomelo.Millis
	dialErr   error
}

// openStream returns a new stream and its connection, which monitors the stream until removeStream.
func (e *peer) openStream(ctx context.Context) (*peerConn, *quic.Stream, error) {
	c, s, err := e.openUnmonitoredStream(ctx)
	if err != nil {
		return nil, nil, err
	}
	c.addStream(s)
	return c, s, nil
}

// openUnmonitoredStream returns a new stream and its connection.
func (e *peer) openUnmonitoredStream(ctx context.Context) (*peerConn, *quic.Stream, error) {
	c, err := e.connection(ctx)
	if err != nil {
		return nil, nil, err
	}
	s, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open stream")
	}
	return c, s, nil
}

// connection returns the current connection if it is usable, or else dials; concurrent callers share one dial and its result, and wait for it until its dial timeout has passed.
func (e *peer) connection(ctx context.Context) (*peerConn, error) {
	e.mu.Lock()
	if e.current != nil && e.current.isUsable() {
		defer e.mu.Unlock()
		return e.current, nil
	}
	done, wait := e.startDial()
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	select {
	case <-done:
		return e.dialResult()
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "connect to peer")
	}
}

// startDial starts a dial unless one is in progress, and returns a channel that is closed at its end and the milliseconds for which to wait for it; mu must be locked.
func (e *peer) startDial() (chan struct{}, pomelo.Millis) {
	now := e.pool.clock.Now()
	if e.dialing == nil {
		e.dialing = make(chan struct{})
		e.dialStart = now
		go e.dial(e.dialing)
	}
	return e.dialing, e.dialStart + e.pool.dialTimeout - now
}

// isDialLate reports whether the dial in progress has exceeded the dial timeout; mu must be locked.
func (e *peer) isDialLate() bool {
	return e.dialing != nil && e.pool.clock.Now()-e.dialStart >= e.pool.dialTimeout
}

func (e *peer) dialResult() (*peerConn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dialErr != nil {
		return nil, errors.Wrap(e.dialErr, "connect to peer")
	}
	if e.current == nil {
		return nil, errors.New("the connection to the peer ended at once")
	}
	return e.current, nil
}

// isReachable reports whether the last dial succeeded or is in progress within the dial timeout; it is true before the first one.
func (e *peer) isReachable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dialErr == nil && !e.isDialLate()
}

func (e *peer) dial(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeouts*e.pool.dialTimeout.Duration())
	defer cancel()
	conn, err := quic.DialAddr(ctx, e.member.Address, e.pool.identity.ClientTLS(e.member.Fingerprint), quicConfig())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dialErr = err
	e.pool.metrics.Count("dialer.dials", 1)
	if err != nil {
		e.pool.metrics.Count("dialer.dial_failures", 1)
	}
	if err == nil {
		c := newPeerConn(e, conn)
		e.current = c
		context.AfterFunc(conn.Context(), func() { e.pool.connClosed(c) })
	}
	e.dialing = nil
	close(done)
}

// replace dials a new connection in place of an unresponsive one, and then retires the old one whether or not the dial has succeeded within its timeout.
func (e *peer) replace(old *peerConn) {
	e.pool.metrics.Count("dialer.silent", 1)
	e.mu.Lock()
	if e.current == old {
		done, wait := e.startDial()
		e.mu.Unlock()
		select {
		case <-done:
		case <-time.After(wait.Duration()):
		}
	} else {
		e.mu.Unlock()
	}
	old.retire()
}

func (e *peer) key() string {
	return e.member.Address + " " + e.member.Fingerprint
}

func (e *peer) bytes() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == nil {
		return 0
	}
	return bytesOf(e.current.conn)
}

// removeConn removes a closed connection and reports whether the peer has none left and dials none.
func (e *peer) removeConn(c *peerConn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == c {
		e.current = nil
	}
	return e.current == nil && e.dialing == nil
}

func (e *peer) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil {
		_ = e.current.conn.CloseWithError(codeClosed, "closing")
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:             idleTimeout,
		MaxIncomingStreams:         streamsPerPeer,
		MaxStreamReceiveWindow:     streamWindowBytes,
		MaxConnectionReceiveWindow: connWindowBytes,
	}
}
