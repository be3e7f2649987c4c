package tenure

import (
	"sync"

	"github.com/pomeloworks/pomelo"
)

// Times in milliseconds.
const (
	// trustFor is how old the knowledge of the members may be for a holder to act on it, less than the 5 s for which keys are trusted; a new holder waits as long for one that does not answer.
	trustFor = pomelo.Millis(4_500)
	// unseenFor is how long changes may go unseen: less than it takes a member to come, wait for a holder that does not answer, hold, and go.
	unseenFor = pomelo.Millis(4_000)
	// confirmEvery is the pause between two questions to one member: some round trips within a region.
	confirmEvery = pomelo.Millis(100)
	// leaseMargin is kept of this node's own lease, for clocks that run apart by 1%.
	leaseMargin = pomelo.Millis(100)
)

// epochsMost bounds the lists that are kept; a right held through all of them counts from the oldest.
const epochsMost = 16

// confirmMost bounds the members that a new one asks whether they know of it, so that its work does not grow with the fleet.
const confirmMost = 32

// Members is the store's list of members, the store's revision that it has reached, and the age of its last proof.
type Members interface {
	Current() []pomelo.Member
	MembersRevision() pomelo.Revision
	MembersAge() pomelo.Millis
	Self() pomelo.Member
}

// Tenure implements pomelo.Tenure; it decides by lists, times and confirmations that it is given.
type Tenure struct {
	members Members
	clock   pomelo.MonotonicClock
	leased  func() pomelo.Millis
	confirm func(pomelo.Member)

	mu sync.Mutex
	// epochs are the last lists, the newest last.
	epochs []epoch
	// held caches what is known of the rights that were asked for, for the newest list and the process's present term.
	held map[string]hold
	term int64
	// fresh is when the list was last known to hold.
	fresh pomelo.Millis
	// confirmed are the revisions up to which processes have said to know the list, and asked when they were asked last.
	confirmed map[process]pomelo.Revision
	asked     map[process]pomelo.Millis
}

// hold is since when, by the clock's time, the lists give a right to this process, and from when on, by the steady time, no process before it can act on the right.
type hold struct {
	own   bool
	since pomelo.Millis
	clear pomelo.Millis
	// first is the epoch with which that began; before had the right until then, and may still act on it unless it confirms that it knows better.
	first  int
	before pomelo.Member
}

var _ pomelo.TimedOwnership = (*Tenure)(nil)

// New returns a tenure that holds nothing before the first Change; leased tells until when, by the steady time, the store keeps this node's own record at least.
func New(members Members, clock pomelo.MonotonicClock, leased func() pomelo.Millis, opts ...func(*Tenure)) *Tenure {
	t := &Tenure{
		members:   members,
		clock:     clock,
		leased:    leased,
		confirm:   func(pomelo.Member) {},
		held:      map[string]hold{},
		confirmed: map[process]pomelo.Revision{},
		asked:     map[process]pomelo.Millis{},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// WithConfirm sets how a member is asked for the revision up to which it knows the list; the answer comes through Confirmed.
func WithConfirm(ask func(pomelo.Member)) func(*Tenure) {
	return func(t *Tenure) { t.confirm = ask }
}

// Change takes in a new list of members; each change of the store's list has to come through here, in its order.
func (t *Tenure) Change() {
	t.take(false)
}

// Relisted takes in a list before which changes may have gone unseen. A record lives longer than the time that may go unseen: only in a longer gap can another member have come and gone, and a lapse of this node's own record shows.
func (t *Tenure) Relisted() {
	t.take(true)
}

func (t *Tenure) take(relisted bool) {
	list := t.members.Current()
	self := t.members.Self()
	age := t.members.MembersAge()
	revision := t.members.MembersRevision()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Monotonic()
	t.fresh = max(t.fresh, now-age)
	next := epoch{list: list, at: now, began: t.clock.Now(), revision: revision, relisted: relisted}
	switch {
	case relisted && (now-t.fresh > unseenFor || !keeps(t.list(), list, self.VM)):
		t.epochs = []epoch{next}
	case len(t.epochs) > 0 && sameLive(t.list(), list):
		t.epochs[len(t.epochs)-1].list = list
	default:
		t.epochs = append(t.epochs, next)
	}
	if len(t.epochs) > epochsMost {
		t.epochs = t.epochs[1:]
	}
	t.forget()
	clear(t.held)
}

// list is the newest one.
func (t *Tenure) list() []pomelo.Member {
	if len(t.epochs) == 0 {
		return nil
	}
	return t.epochs[len(t.epochs)-1].list
}

// Owner is the member with the highest hash of its VM and the right.
func (t *Tenure) Owner(right string) (pomelo.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.owner(len(t.epochs)-1, right)
}

// IsOwner reports whether this node may act on the right now.
func (t *Tenure) IsOwner(right string) bool {
	return t.OwnedFor(right) > 0
}

// OwnedSince is when, by the clock, this node took the right over, or 0.
func (t *Tenure) OwnedSince(right string) pomelo.Millis {
	h, ok := t.start(right)
	if !ok {
		return 0
	}
	return max(h.since, 1)
}

// OwnedFor is for how long no other node can have acted on the right; it is not positive until the holder before must have stopped.
func (t *Tenure) OwnedFor(right string) pomelo.Millis {
	h, ok := t.start(right)
	if !ok {
		return 0
	}
	return t.clock.Monotonic() - h.clear
}

func (t *Tenure) start(right string) (hold, bool) {
	age := t.members.MembersAge()
	self := t.members.Self()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Monotonic()
	if age > trustFor || self.Draining || now >= t.leased()-leaseMargin {
		return hold{}, false
	}
	t.fresh = max(t.fresh, now-age)
	if self.Term != t.term {
		t.term = self.Term
		clear(t.held)
	}
	h, ok := t.held[right]
	if !ok {
		h = t.find(right, self)
		t.held[right] = h
	}
	if h.own && now <= h.clear {
		t.hurry(right, h, now)
	}
	return t.held[right], h.own
}

// hurry asks those that may still act on the right, and lets it be used as soon as none of them does.
func (t *Tenure) hurry(right string, h hold, now pomelo.Millis) {
	if h.before.VM != "" {
		t.question(h.before, now)
	}
	e := t.epochs[h.first]
	if t.allKnow(t.members.Self(), e.revision, now) {
		h.clear = e.at
		t.held[right] = h
	}
}

// find looks up the run of lists that give the right to this process.
func (t *Tenure) find(right string, self pomelo.Member) hold {
	last := len(t.epochs) - 1
	m, ok := t.owner(last, right)
	if !ok || !sameTerm(m, self) {
		return hold{}
	}
	first := t.runStart(last, right)
	h := hold{own: true, first: first, since: t.epochs[first].began, clear: t.clearAt(first, right)}
	if before, ok := t.owner(first-1, right); ok {
		h.before = before
	}
	return h
}

// clearAt is from when on no process can act on the right that had it before the run that begins at the epoch.
func (t *Tenure) clearAt(first int, right string) pomelo.Millis {
	at := t.epochs[first].at
	if first == 0 {
		if m, _ := t.owner(0, right); m.SoleOwner {
			return at
		}
		return at + trustFor
	}
	before, ok := t.owner(first-1, right)
	if !ok || t.epochs[first].relisted || !hasStopped(before, t.epochs[first].list) && !t.knows(before, t.epochs[first].revision) {
		return at + trustFor
	}
	return max(at, t.clearAt(t.runStart(first-1, right), right))
}

// Rested reports whether no process before this one can act any more on the rights that it has by the list, and asks the members that may not know yet.
func (t *Tenure) Rested() bool {
	self := t.members.Self()
	t.mu.Lock()
	defer t.mu.Unlock()
	joined := -1
	for i := len(t.epochs) - 1; i >= 0 && lists(live(t.epochs[i].list), self); i-- {
		joined = i
	}
	if joined < 0 {
		return false
	}
	now := t.clock.Monotonic()
	if now > t.epochs[joined].at+trustFor {
		return true
	}
	return t.allKnow(self, t.epochs[joined].revision, now)
}
