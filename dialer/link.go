package dialer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/quic-go/quic-go"
)

// Times in milliseconds after which a connection that brings nothing is asked, and taken as silent.
const (
	defaultPingAfter = pomelo.Millis(200)
	defaultPingLimit = pomelo.Millis(500)
)

// link is one connection and what waits on it; once it is silent, its waiters are woken and it is not used again.
type link struct {
	peer    *peer
	conn    *quic.Conn
	mu      sync.Mutex
	waiting map[*quic.Stream]bool
	heard   int
	watched bool
	silent  bool
}

func newLink(p *peer, conn *quic.Conn) *link {
	return &link{peer: p, conn: conn, waiting: map[*quic.Stream]bool{}}
}

func (l *link) usable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.silent && l.conn.Context().Err() == nil
}

// refused reports whether the peer has turned the handshake down, so that it has never taken a stream of this connection.
func (l *link) refused() bool {
	var e *quic.TransportError
	return errors.As(context.Cause(l.conn.Context()), &e) && e.Remote && e.ErrorCode.IsCryptoError()
}

// enter has the connection watched while the stream waits.
func (l *link) enter(s *quic.Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[s] = true
	if l.silent {
		wake(s)
		return
	}
	if !l.watched {
		l.watched = true
		go l.watch()
	}
}

// leave closes a silent connection behind its last waiter.
func (l *link) leave(s *quic.Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, s)
	if l.silent && len(l.waiting) == 0 {
		_ = l.conn.CloseWithError(codeClosed, "replaced")
	}
}

func (l *link) hear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard++
}

// watch asks the peer whenever something has waited and nothing has come.
func (l *link) watch() {
	before := 0
	for l.conn.Context().Err() == nil {
		_ = l.peer.pool.clock.Sleep(l.conn.Context(), l.peer.pool.pingAfter)
		heard, idle := l.progress()
		if idle {
			return
		}
		if heard == before && !l.ping() && l.unchanged(heard) {
			l.peer.replace(l)
			return
		}
		before = heard
	}
}

func (l *link) progress() (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.watched = false
		return l.heard, true
	}
	return l.heard, false
}

func (l *link) unchanged(heard int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard == heard
}

func (l *link) ping() bool {
	ctx, cancel := context.WithTimeout(l.conn.Context(), l.peer.pool.pingLimit.Duration())
	defer cancel()
	s, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return false
	}
	var pong bool
	return l.peer.pool.question(ctx, s, pomelo.MessagePing, true, &pong) == nil
}

// retire wakes the waiters without a word to the peer, which would take a reset stream as a cancelled call.
func (l *link) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
	for s := range l.waiting {
		wake(s)
	}
	if len(l.waiting) == 0 {
		_ = l.conn.CloseWithError(codeClosed, "replaced")
	}
}

func wake(s *quic.Stream) {
	_ = s.SetDeadline(time.Unix(1, 0))
}
