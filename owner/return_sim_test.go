package owner_test

import (
	"fmt"
	"maps"
	"slices"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/census"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/owner"
	"github.com/pomeloworks/pomelo/tenure"
)

// storeState is what a copy of the simulated store contains; lease expiries are monotonic times.
type storeState struct {
	records  map[string]pomelo.MemberRecord
	leases   map[int]pomelo.Millis
	leaseOf  map[string]int
	events   []pomelo.MemberRecord
	revision pomelo.Revision
	takenAt  pomelo.Millis
}

func (s storeState) clone(delay pomelo.Millis) storeState {
	c := s
	c.records = maps.Clone(s.records)
	c.leaseOf = maps.Clone(s.leaseOf)
	c.events = slices.Clone(s.events)
	c.leases = map[int]pomelo.Millis{}
	for id, at := range s.leases {
		c.leases[id] = at + delay
	}
	return c
}

// returningStore is a simulated store that can return from a copy of itself.
type returningStore struct {
	storeState
	clock     *clock.Clock
	epoch     int64
	lastLease int
	copies    []storeState
}

func newReturningStore(c *clock.Clock) *returningStore {
	return &returningStore{clock: c, epoch: 1, storeState: storeState{
		records: map[string]pomelo.MemberRecord{}, leases: map[int]pomelo.Millis{}, leaseOf: map[string]int{},
	}}
}

func (s *returningStore) record(r pomelo.MemberRecord) {
	s.revision++
	r.Revision = s.revision
	s.events = append(s.events, r)
	if r.Deleted {
		delete(s.records, r.Member.VM)
		return
	}
	s.records[r.Member.VM] = r
}

func (s *returningStore) expireLeases() {
	for vm, id := range s.leaseOf {
		if _, ok := s.records[vm]; ok && s.leases[id] <= s.clock.Monotonic() {
			s.record(pomelo.MemberRecord{Member: pomelo.Member{VM: vm}, Deleted: true})
		}
	}
	for id, at := range s.leases {
		if at <= s.clock.Monotonic() {
			delete(s.leases, id)
		}
	}
}

func (s *returningStore) takeCopy() {
	c := s.clone(0)
	c.takenAt = s.clock.Monotonic()
	s.copies = append(s.copies, c)
}

// restore returns the newest copy that is at least this old, if there is one within 20 s.
func (s *returningStore) restore(age pomelo.Millis) {
	now := s.clock.Monotonic()
	for _, c := range slices.Backward(s.copies) {
		if now-c.takenAt < age || now-c.takenAt > 20_000 {
			continue
		}
		s.storeState = c.clone(now - c.takenAt)
		s.epoch++
		return
	}
}

// peer is a process whose list, lease and ownership work as in a node.
type peer struct {
	store     *returningStore
	clock     *clock.Clock
	self      pomelo.Member
	census    *census.Census
	tenure    *tenure.Tenure
	tracker   *owner.Tracker
	lease     int
	written   pomelo.Member
	isCut     bool
	started   bool
	requested []pomelo.Member
}

func newPeer(s *returningStore, vm string, start int) *peer {
	p := &peer{store: s, clock: s.clock, census: census.New(vm), tenure: &tenure.Tenure{}, self: pomelo.Member{VM: vm, Incarnation: fmt.Sprint(vm, "-", start)}}
	p.tracker = owner.New(p, s.clock, p.tenure.ExpiresAt, owner.WithPositionRequest(func(m pomelo.Member) { p.requested = append(p.requested, m) }))
	return p
}

// Current returns the list.
func (p *peer) Current() []pomelo.Member { return p.census.Current() }

// MembersPosition returns the position of the list.
func (p *peer) MembersPosition() pomelo.Position { return p.census.Position() }

// MembersAge returns the age of the last proof by which the process may act.
func (p *peer) MembersAge() pomelo.Millis {
	at, ok := p.census.OwnProofAt()
	if !ok {
		return 1 << 40
	}
	return p.clock.Monotonic() - at
}

// Self returns the record that the process wants to have in the store.
func (p *peer) Self() pomelo.Member { return p.self }

// sync reads the store: all changes in order, or a complete list if they are not known.
func (p *peer) sync(relist bool) {
	if p.isCut {
		return
	}
	at := pomelo.Position{Epoch: p.store.epoch, Revision: p.store.revision}
	if relist || !p.started || p.census.Position().Epoch != at.Epoch {
		var records []pomelo.MemberRecord
		for _, r := range p.store.records {
			records = append(records, r)
		}
		p.census.Replace(records, at, p.clock.Monotonic())
		p.started = true
		p.tracker.ApplyRelist()
	} else {
		for _, e := range p.store.events {
			if e.Revision > p.census.Watched().Revision && p.census.Apply(e, p.clock.Monotonic()) {
				p.tracker.ApplyChange()
			}
		}
	}
	p.census.Advance(at.Revision)
	p.prove(p.clock.Monotonic())
}

func (p *peer) prove(start pomelo.Millis) {
	p.census.Prove(start)
	if p.census.DropCarried(p.clock.Monotonic()) {
		p.tracker.ApplyDrop()
	}
}

// relay takes over the proof of another process.
func (p *peer) relay(from *peer) {
	at, ok := from.census.ProvenAt()
	a, b := p.census.Watched(), from.census.Watched()
	if ok && a.Epoch == b.Epoch && a.Revision >= b.Revision {
		p.prove(at)
	}
}

// announce renews the lease and writes the record if it differs; the answer to the write may be lost.
func (p *peer) announce(answerLost bool) {
	if p.isCut || !p.started {
		return
	}
	now := p.clock.Monotonic()
	if p.tenure.BeginEpoch(p.store.epoch) {
		p.self.Epoch = p.store.epoch
		p.self.SoleOwner = false
	}
	if p.tenure.Overdue(now) {
		p.self.Resign()
	}
	if _, ok := p.store.leases[p.lease]; !ok {
		if p.tenure.Lost() {
			p.self.Resign()
		}
		p.store.lastLease++
		p.lease = p.store.lastLease
		p.written = pomelo.Member{}
	}
	p.store.leases[p.lease] = now + lease
	p.tenure.Renewed(now, lease)
	if p.self.Epoch == p.census.Position().Epoch {
		p.self.SoleOwner = p.tracker.IsSoleOwner()
	}
	if p.written == p.self {
		return
	}
	p.store.leaseOf[p.self.VM] = p.lease
	p.store.record(pomelo.MemberRecord{Member: p.self})
	if answerLost {
		return
	}
	p.written = p.self
	if p.tenure.Written(now) {
		p.self.Resign()
	}
}

// confirm delivers the answers of the processes that were asked, as far as they still run.
func (p *peer) confirm(all map[string]*peer) {
	for _, m := range p.requested {
		if o := all[m.VM]; o.self.Incarnation == m.Incarnation && o.started {
			p.tracker.ConfirmPosition(m, o.census.Position())
		}
	}
	p.requested = nil
}
