package gossip

import (
	"context"
	"sync"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/mirror"
)

// Times in milliseconds, and numbers of nodes.
const (
	exchangeInterval = pomelo.Millis(250)
	// readerExchangeInterval is the interval of a node whose freshness comes from its own reads of the store.
	readerExchangeInterval = pomelo.Millis(1_000)
	requestTimeout         = pomelo.Millis(750)
	defaultMaxAge          = pomelo.Millis(5_000)
	// A copy older than staleNumerator/staleDenominator of the maximum age makes a node read the store itself.
	staleNumerator   = 4
	staleDenominator = 5
	readerCount      = 32
	witnessCount     = 15
	noStoreRead      = pomelo.Millis(-1)
)

// Gossiper exchanges gossip with a few neighbours.
type Gossiper struct {
	members         pomelo.Membership
	mirror          *mirror.Mirror
	peers           pomelo.Peers
	clock           pomelo.Clock
	ownStoreReadAt  func() pomelo.Millis
	maxAge          pomelo.Millis
	changed         chan struct{}
	mu              sync.Mutex
	peerStoreReadAt pomelo.Millis
	lastSeen        map[string]pomelo.Millis
	positions       map[string]pomelo.Position
	exchangeCount   int
}

// New returns a gossiper; ownStoreReadAt returns when this node sent its last answered read of the store, or 0 if never.
func New(members pomelo.Membership, m *mirror.Mirror, peers pomelo.Peers, clock pomelo.Clock, ownStoreReadAt func() pomelo.Millis, opts ...func(*Gossiper)) *Gossiper {
	g := &Gossiper{
		members:        members,
		mirror:         m,
		peers:          peers,
		clock:          clock,
		ownStoreReadAt: ownStoreReadAt,
		maxAge:         defaultMaxAge,
		changed:        make(chan struct{}, 1),
		lastSeen:       map[string]pomelo.Millis{},
		positions:      map[string]pomelo.Position{},
	}
	for _, o := range opts {
		o(g)
	}
	m.OnChange(func([]pomelo.Record) { g.notifyChange() })
	return g
}

// WithMaxAge sets the age, in milliseconds, from which the copy is no longer fresh.
func WithMaxAge(d pomelo.Millis) func(*Gossiper) {
	return func(g *Gossiper) { g.maxAge = d }
}

// Run exchanges gossip until the context ends: with one neighbour in each interval, and with all neighbours at once after a change.
func (g *Gossiper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if g.waitForChange(ctx) {
			g.exchangeWithAll(ctx)
			continue
		}
		g.exchangeWithNext(ctx)
	}
}

// ShouldReadStore reports whether this node should read the store itself: it is one of the readers, or its copy is close to the maximum age.
func (g *Gossiper) ShouldReadStore() bool {
	if ringIndex(g.members) < readerCount {
		return true
	}
	at := g.StoreReadAt()
	return at == 0 || g.clock.Now()-at > g.maxAge*staleNumerator/staleDenominator
}

// StoreReadAt returns when the newest store read that this node's copy is based on was sent, by this node's clock; 0 means never.
func (g *Gossiper) StoreReadAt() pomelo.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.peerStoreReadAt, g.ownStoreReadAt())
}

// IsFresh reports whether this node would know of a key withdrawal that was accepted longer than the maximum age ago.
// Without the store this holds while a majority of the witnesses was seen recently: a change would have reached one of them.
func (g *Gossiper) IsFresh() bool {
	now := g.clock.Now()
	at := g.StoreReadAt()
	if at > 0 && now-at <= g.maxAge {
		return true
	}
	return at > 0 && g.seesWitnessMajority(now)
}

// Answer implements the pomelo.Responder of pomelo.MessageGossip: it applies a neighbour's gossip and returns this node's.
func (g *Gossiper) Answer(_ context.Context, from pomelo.Member, decode func(any) error) (any, error) {
	var msg pomelo.Gossip
	if err := decode(&msg); err != nil {
		return nil, err
	}
	// The ages in a request are not applied: the time that the request was in transit is unknown.
	g.applyMessage(from, msg)
	return g.newMessage(msg.Position), nil
}

func (g *Gossiper) notifyChange() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// waitForChange waits for one interval and reports whether a change ended the wait early.
func (g *Gossiper) waitForChange(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	woken := make(chan bool, 1)
	go func() {
		select {
		case <-g.changed:
			woken <- true
			cancel()
		case <-ctx.Done():
			woken <- false
		}
	}()
	_ = g.clock.Sleep(ctx, g.interval())
	cancel()
	return <-woken
}

func (g *Gossiper) interval() pomelo.Millis {
	if at := g.ownStoreReadAt(); at > 0 && g.clock.Now()-at <= g.maxAge/2 {
		return readerExchangeInterval
	}
	return exchangeInterval
}

func (g *Gossiper) exchangeWithAll(ctx context.Context) {
	var running sync.WaitGroup
	for _, m := range neighbours(g.members) {
		running.Go(func() { g.exchange(ctx, m) })
	}
	running.Wait()
}

func (g *Gossiper) exchangeWithNext(ctx context.Context) {
	all := neighbours(g.members)
	if len(all) == 0 {
		return
	}
	g.mu.Lock()
	g.exchangeCount++
	m := all[g.exchangeCount%len(all)]
	g.mu.Unlock()
	g.exchange(ctx, m)
}

// exchange sends this node's gossip and applies the reply; the ages in the reply count from before the request was sent.
func (g *Gossiper) exchange(ctx context.Context, m pomelo.Member) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	requestedAt := g.clock.Now()
	var reply pomelo.Gossip
	if err := g.peers.Request(ctx, m, pomelo.MessageGossip, g.newMessage(g.positionOf(m)), &reply); err != nil {
		return
	}
	g.applyMessage(m, reply)
	g.applyAges(m, reply, requestedAt)
}

// positionOf returns the position that the member reported last, or this node's own.
func (g *Gossiper) positionOf(m pomelo.Member) pomelo.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p, ok := g.positions[m.VM+m.Incarnation]; ok {
		return p
	}
	return g.mirror.Position()
}
