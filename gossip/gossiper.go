package gossip

import (
	"context"
	"sync"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/mirror"
)

// Times in milliseconds, and numbers of nodes.
const (
	tick = pomelo.Millis(250)
	// readerTick is between the exchanges of a node that has its freshness from the store itself.
	readerTick    = pomelo.Millis(1_000)
	askTimeout    = pomelo.Millis(750)
	defaultMaxAge = pomelo.Millis(5_000)
	// Knowledge older than oldParts of allParts of the maximum age makes a node read the store itself.
	oldParts  = 4
	allParts  = 5
	readers   = 32
	witnesses = 15
	never     = pomelo.Millis(-1)
)

// Gossiper exchanges gossip with a few neighbours.
type Gossiper struct {
	members pomelo.Membership
	mirror  *mirror.Mirror
	peers   pomelo.Peers
	clock   pomelo.Clock
	contact func() pomelo.Millis
	maxAge  pomelo.Millis
	changed chan struct{}
	mu      sync.Mutex
	learned pomelo.Millis
	heard   map[string]pomelo.Millis
	known   map[string]pomelo.Position
	turn    int
}

// New returns a spreader; contact tells when this node's own last answered read of the store was sent, 0 meaning never.
func New(members pomelo.Membership, m *mirror.Mirror, peers pomelo.Peers, clock pomelo.Clock, contact func() pomelo.Millis, opts ...func(*Gossiper)) *Gossiper {
	s := &Gossiper{
		members: members,
		mirror:  m,
		peers:   peers,
		clock:   clock,
		contact: contact,
		maxAge:  defaultMaxAge,
		changed: make(chan struct{}, 1),
		heard:   map[string]pomelo.Millis{},
		known:   map[string]pomelo.Position{},
	}
	for _, o := range opts {
		o(s)
	}
	m.OnChange(func([]pomelo.Record) { s.wake() })
	return s
}

// WithMaxAge sets the age, in milliseconds, at which knowledge is no longer fresh.
func WithMaxAge(d pomelo.Millis) func(*Gossiper) {
	return func(s *Gossiper) { s.maxAge = d }
}

// Run exchanges gossip until the context ends: with one neighbour each tick, and with all at once when something changed.
func (s *Gossiper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.pause(ctx) {
			s.tellAll(ctx)
			continue
		}
		s.tellNext(ctx)
	}
}

// Reads reports whether this node should read the store itself: it is one of the readers, or its knowledge is getting old.
func (s *Gossiper) Reads() bool {
	if rank(s.members) < readers {
		return true
	}
	at := s.Contact()
	return at == 0 || s.clock.Now()-at > s.maxAge*oldParts/allParts
}

// Contact is when the newest read of the store that this node's knowledge rests on was sent, by this node's clock; 0 means never.
func (s *Gossiper) Contact() pomelo.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.learned, s.contact())
}

// Fresh reports whether a withdrawal accepted longer than the maximum age ago would be known here.
// Without the store that is so while most of the witnesses are heard of: a change would have reached one of them.
func (s *Gossiper) Fresh() bool {
	now := s.clock.Now()
	at := s.Contact()
	if at > 0 && now-at <= s.maxAge {
		return true
	}
	return at > 0 && s.hearsMajority(now)
}

// Answer takes a neighbour's gossip in and answers with this node's; it is the responder of pomelo.MessageGossip.
func (s *Gossiper) Answer(_ context.Context, from pomelo.Member, decode func(any) error) (any, error) {
	var n pomelo.Gossip
	if err := decode(&n); err != nil {
		return nil, err
	}
	// The ages in a question are not taken: how long it was under way is not known.
	s.merge(from, n)
	return s.tell(n.Position), nil
}

func (s *Gossiper) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// pause waits for the next tick and reports whether a change ended the wait.
func (s *Gossiper) pause(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	woken := make(chan bool, 1)
	go func() {
		select {
		case <-s.changed:
			woken <- true
			cancel()
		case <-ctx.Done():
			woken <- false
		}
	}()
	_ = s.clock.Sleep(ctx, s.interval())
	cancel()
	return <-woken
}

func (s *Gossiper) interval() pomelo.Millis {
	if own := s.contact(); own > 0 && s.clock.Now()-own <= s.maxAge/2 {
		return readerTick
	}
	return tick
}

func (s *Gossiper) tellAll(ctx context.Context) {
	var running sync.WaitGroup
	for _, m := range neighbours(s.members) {
		running.Go(func() { s.exchange(ctx, m) })
	}
	running.Wait()
}

func (s *Gossiper) tellNext(ctx context.Context) {
	all := neighbours(s.members)
	if len(all) == 0 {
		return
	}
	s.mu.Lock()
	s.turn++
	m := all[s.turn%len(all)]
	s.mu.Unlock()
	s.exchange(ctx, m)
}

// exchange sends this node's gossip and takes the answer in; an age in the answer counts from before the question was sent.
func (s *Gossiper) exchange(ctx context.Context, m pomelo.Member) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	asked := s.clock.Now()
	var answer pomelo.Gossip
	if err := s.peers.Request(ctx, m, pomelo.MessageGossip, s.tell(s.positionOf(m)), &answer); err != nil {
		return
	}
	s.merge(m, answer)
	s.credit(m, answer, asked)
}

func (s *Gossiper) positionOf(m pomelo.Member) pomelo.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.known[m.VM+m.Incarnation]; ok {
		return p
	}
	return s.mirror.Position()
}
