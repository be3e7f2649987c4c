package dialer

import (
	"sync"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/ident"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/wire"
	"github.com/quic-go/quic-go"
)

// A connection that nothing uses ends after idleTimeout and costs nothing until then; one that something waits on is asked much sooner.
const (
	idleTimeout        = 30 * time.Second
	defaultDialTimeout = pomelo.Millis(500)
	streamsPerPeer     = 1 << 16
)

const (
	codeCanceled quic.StreamErrorCode      = 1
	codeClosed   quic.ApplicationErrorCode = 0
)

// Pool implements pomelo.Transport and pomelo.Peers over QUIC.
type Pool struct {
	identity    *ident.Identity
	codec       *wire.Codec
	clock       pomelo.Clock
	metrics     pomelo.Metrics
	dialTimeout pomelo.Millis
	pingAfter   pomelo.Millis
	pingLimit   pomelo.Millis
	mu          sync.Mutex
	peers       map[string]*peer
	ended       uint64
}

// New returns a pool that opens connections on demand.
func New(identity *ident.Identity, codec *wire.Codec, opts ...func(*Pool)) *Pool {
	p := &Pool{
		identity:    identity,
		codec:       codec,
		clock:       clock.New(),
		metrics:     metric.New(),
		dialTimeout: defaultDialTimeout,
		pingAfter:   defaultPingAfter,
		pingLimit:   defaultPingLimit,
		peers:       map[string]*peer{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// WithDialTimeout bounds, in milliseconds, how long opening a connection may take.
func WithDialTimeout(d pomelo.Millis) func(*Pool) {
	return func(p *Pool) { p.dialTimeout = d }
}

// WithClock takes the times of calls and waits from c.
func WithClock(c pomelo.Clock) func(*Pool) {
	return func(p *Pool) { p.clock = c }
}

// WithMetrics counts silent connections and what became of calls in doubt.
func WithMetrics(m pomelo.Metrics) func(*Pool) {
	return func(p *Pool) { p.metrics = m }
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.peers {
		e.close()
	}
	p.peers = map[string]*peer{}
}

// Bytes counts what has been sent and received over all connections, without the headers of UDP and IP.
func (p *Pool) Bytes() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.ended
	for _, e := range p.peers {
		n += e.bytes()
	}
	return n
}

// Connections counts the open connections.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.peers {
		if e.bytes() > 0 {
			n++
		}
	}
	return n
}

// end counts a connection that has ended, and forgets a peer that has no other.
func (p *Pool) end(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended += bytesOf(l.conn)
	e := l.peer
	if k := e.name(); p.peers[k] == e && e.drop(l) {
		delete(p.peers, k)
	}
}

func (p *Pool) peer(m pomelo.Member) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := &peer{pool: p, member: m}
	k := fresh.name()
	if e, ok := p.peers[k]; ok {
		return e
	}
	p.peers[k] = fresh
	return fresh
}

func bytesOf(c *quic.Conn) uint64 {
	s := c.ConnectionStats()
	return s.BytesSent + s.BytesReceived
}

func cancelStream(s *quic.Stream) {
	s.CancelRead(codeCanceled)
	s.CancelWrite(codeCanceled)
}
