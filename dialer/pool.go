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

// idleTimeout closes a connection without traffic, which costs nothing until then; a connection with waiting streams is pinged much sooner.
const (
	idleTimeout        = 30 * time.Second
	defaultDialTimeout = pomelo.Millis(500)
	streamsPerPeer     = 1 << 16
	// handshakeTimeouts is the number of dial timeouts for which a handshake goes on: an overloaded peer that completes none of them in time would spend its processor time on handshakes that are given up.
	handshakeTimeouts = 4
)

// Bytes of answers that a peer may send before they are read, on a stream and on a connection.
const (
	streamWindowBytes = 512 << 10
	connWindowBytes   = 8 << 20
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
	pingTimeout pomelo.Millis
	mu          sync.Mutex
	peers       map[string]*peer
	closedBytes uint64
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
		pingTimeout: defaultPingTimeout,
		peers:       map[string]*peer{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// WithDialTimeout limits, in milliseconds, how long calls wait for a connection; its handshake goes on for some more time.
func WithDialTimeout(d pomelo.Millis) func(*Pool) {
	return func(p *Pool) { p.dialTimeout = d }
}

// WithClock replaces the system clock.
func WithClock(c pomelo.Clock) func(*Pool) {
	return func(p *Pool) { p.clock = c }
}

// WithMetrics counts dials, failed dials, unresponsive connections and the outcomes of calls in doubt.
func WithMetrics(m pomelo.Metrics) func(*Pool) {
	return func(p *Pool) { p.metrics = m }
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.peers {
		e.close()
	}
	p.peers = map[string]*peer{}
}

// Bytes returns the bytes sent and received over all connections, without the headers of UDP and IP.
func (p *Pool) Bytes() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.closedBytes
	for _, e := range p.peers {
		n += e.bytes()
	}
	return n
}

// Connections returns the number of open connections.
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

// connClosed adds the bytes of a closed connection to the total, and removes its peer if it has no other connection.
func (p *Pool) connClosed(c *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closedBytes += bytesOf(c.conn)
	e := c.peer
	if k := e.key(); p.peers[k] == e && e.removeConn(c) {
		delete(p.peers, k)
	}
}

func (p *Pool) peer(m pomelo.Member) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	created := &peer{pool: p, member: m}
	k := created.key()
	if e, ok := p.peers[k]; ok {
		return e
	}
	p.peers[k] = created
	return created
}

func bytesOf(c *quic.Conn) uint64 {
	s := c.ConnectionStats()
	return s.BytesSent + s.BytesReceived
}

func cancelStream(s *quic.Stream) {
	s.CancelRead(codeCanceled)
	s.CancelWrite(codeCanceled)
}
