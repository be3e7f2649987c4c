package owner

import (
	"sync"

	"github.com/pomeloworks/pomelo"
)

// Times in milliseconds.
const (
	// maxListAge is the maximum age of the member list that an owner may act on; a new owner waits for the same time before it acts on a resource whose previous owner is unresponsive.
	maxListAge = pomelo.MaxMemberProofAge
	// youngPeriod is the time after the first list of a store's epoch in which a member that the list lacks may still act by a list of the earlier epoch.
	youngPeriod = maxListAge + 500
	// maxUnseenGap is the longest gap, in which changes of the list may have been missed, after which the earlier lists are retained: it is shorter than the time that a member needs to join, wait for an unresponsive owner, own a resource and be removed.
	maxUnseenGap = pomelo.Millis(4_000)
	// confirmInterval is the interval between two confirmation requests to one member: a few round trips within a region.
	confirmInterval = pomelo.Millis(100)
	// leaseMargin is the time before the expiry of its lease at which this node stops acting, for clocks that drift apart by 1%.
	leaseMargin = pomelo.Millis(100)
)

// maxLists bounds the retained lists; a resource owned through all of them counts as owned since the oldest.
const maxLists = 16

// maxConfirmMembers is the largest number of members that a new member asks to confirm its list, so that its work does not grow with the fleet.
const maxConfirmMembers = 32

// minProcesses is the number of processes, in addition to two for each member, whose confirmations are kept before those of unlisted processes are dropped.
const minProcesses = 32

// Members provides the store's member list, the state of the store that the list has reached, and the time since the list was last verified in an epoch in which this node's own record is known.
type Members interface {
	// Current returns a list that never changes.
	Current() []pomelo.Member
	MembersPosition() pomelo.Position
	MembersAge() pomelo.Millis
	Self() pomelo.Member
}

// Tracker implements pomelo.TimedOwnership from the member lists, times and confirmations passed to it; it does no I/O of its own.
type Tracker struct {
	members         Members
	clock           pomelo.MonotonicClock
	leaseExpiresAt  func() pomelo.Millis
	requestPosition func(pomelo.Member)
	firstStart      bool

	mu sync.Mutex
	// lists are the latest member lists, the newest last.
	lists []memberList
	// owned caches the ownership of each requested resource for the newest list and the process's current term.
	owned map[string]ownership
	// owners caches the index of each requested resource's owner among the active members of the newest list.
	owners map[string]int
	term   int64
	// verifiedAt is the monotonic time at which the list was last known to be current.
	verifiedAt pomelo.Millis
	// youngUntil is the time that a proof of the list must reach before a member's absence from the list means that it has stopped.
	youngUntil pomelo.Millis
	// confirmedPosition is the list position that each process has confirmed, and requestedAt the monotonic time of the last request to it.
	confirmedPosition map[process]pomelo.Position
	requestedAt       map[process]pomelo.Millis
}

// ownership describes this process's ownership of a resource: since is the wall-clock time from which the lists assign the resource to it, and exclusiveFrom the monotonic time after which no previous owner can act on the resource.
type ownership struct {
	isOwner       bool
	since         pomelo.Millis
	exclusiveFrom pomelo.Millis
	// firstList is the index of the list with which the ownership began; previousOwner owned the resource until then, and may still act on it until it confirms that list.
	firstList     int
	previousOwner pomelo.Member
	// isConfirmed is true if all that could act on the resource have confirmed the list, so that no later proof is needed.
	isConfirmed bool
}

var _ pomelo.TimedOwnership = (*Tracker)(nil)

// New returns a Tracker that owns nothing before the first ApplyChange; leaseExpiresAt returns the monotonic time until which, at least, the store retains this node's own record.
func New(members Members, clock pomelo.MonotonicClock, leaseExpiresAt func() pomelo.Millis, opts ...func(*Tracker)) *Tracker {
	t := &Tracker{
		members:           members,
		clock:             clock,
		leaseExpiresAt:    leaseExpiresAt,
		requestPosition:   func(pomelo.Member) {},
		owned:             map[string]ownership{},
		owners:            map[string]int{},
		confirmedPosition: map[process]pomelo.Position{},
		requestedAt:       map[process]pomelo.Millis{},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// WithPositionRequest sets the function that asks a member which position of the list it knows; its answer is passed to ConfirmPosition.
func WithPositionRequest(request func(pomelo.Member)) func(*Tracker) {
	return func(t *Tracker) { t.requestPosition = request }
}

// WithFirstStart marks a process of a fleet that starts for the first time, in which no earlier process can act.
func WithFirstStart(first bool) func(*Tracker) {
	return func(t *Tracker) { t.firstStart = first }
}

// ApplyChange applies a new member list; it must be called for each change of the store's list, in order.
func (t *Tracker) ApplyChange() {
	t.apply(false, false)
}

// ApplyDrop applies a member list without members that have not announced themselves again after the store returned; other processes drop them at other times, so that the list does not show who acted in between.
func (t *Tracker) ApplyDrop() {
	t.apply(false, true)
}

// ApplyRelist applies a member list that was read anew, so that changes before it may have been missed. Records outlive maxUnseenGap: another member can have joined and been removed only in a longer gap, and an expiry of this node's own record is visible in the list.
func (t *Tracker) ApplyRelist() {
	t.apply(true, false)
}

func (t *Tracker) apply(relisted, dropped bool) {
	list := t.members.Current()
	self := t.members.Self()
	age := t.members.MembersAge()
	position := t.members.MembersPosition()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Monotonic()
	t.verifiedAt = max(t.verifiedAt, now-age)
	next := memberList{list: list, active: active(list), appliedMonotonic: now, appliedAt: t.clock.Now(), position: position, relisted: relisted}
	t.updateYoung(next, now)
	next.young = dropped || t.isYoung()
	switch {
	case t.isReturn(next):
		t.applyReturn(next, self, now)
	case t.rejoinsAnew(next, self):
		// Others may have dropped this process, and taken over, without a trace in the store.
		next.young = true
		t.youngUntil = now + youngPeriod
		t.lists = []memberList{next}
	case relisted && (now-t.verifiedAt > maxUnseenGap || !sameRecord(t.currentList(), list, self.VM)):
		t.lists = []memberList{next}
	case len(t.lists) > 0 && sameActive(t.lists[len(t.lists)-1].active, next.active):
		t.lists[len(t.lists)-1].list = list
		t.lists[len(t.lists)-1].active = next.active
	default:
		t.lists = append(t.lists, next)
	}
	if len(t.lists) > maxLists {
		t.lists = t.lists[1:]
	}
	t.observeOwnRecord(next, self, now)
	t.dropUnlisted()
	clear(t.owned)
	clear(t.owners)
}

// currentList returns the newest member list.
func (t *Tracker) currentList() []pomelo.Member {
	if len(t.lists) == 0 {
		return nil
	}
	return t.lists[len(t.lists)-1].list
}

// Owner returns the member that owns the resource, the one with the highest hash of its VM and the resource; false if there is none.
func (t *Tracker) Owner(resource string) (pomelo.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.lists) == 0 {
		return pomelo.Member{}, false
	}
	at := t.newestOwner(resource)
	if at < 0 {
		return pomelo.Member{}, false
	}
	return t.lists[len(t.lists)-1].active[at], true
}

// IsOwner reports whether this node may act on the resource now.
func (t *Tracker) IsOwner(resource string) bool {
	return t.OwnedFor(resource) > 0
}

// OwnedSince returns the wall-clock time at which this node became the owner of the resource, or 0 if it is not the owner.
func (t *Tracker) OwnedSince(resource string) pomelo.Millis {
	o, ok := t.lookup(resource)
	if !ok {
		return 0
	}
	return max(o.since, 1)
}

// OwnedFor returns the time, in milliseconds, for which no other node can have acted on the resource; it is not positive until the previous owner must have stopped.
func (t *Tracker) OwnedFor(resource string) pomelo.Millis {
	o, ok := t.lookup(resource)
	if !ok {
		return 0
	}
	if !o.isConfirmed && !t.isProvenSince(o.exclusiveFrom) {
		return 0
	}
	return t.clock.Monotonic() - o.exclusiveFrom
}

func (t *Tracker) lookup(resource string) (ownership, bool) {
	age := t.members.MembersAge()
	self := t.members.Self()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Monotonic()
	if age > maxListAge || self.Draining || now >= t.leaseExpiresAt()-leaseMargin {
		return ownership{}, false
	}
	t.verifiedAt = max(t.verifiedAt, now-age)
	if self.Term != t.term {
		t.term = self.Term
		clear(t.owned)
	}
	o, ok := t.owned[resource]
	if !ok {
		o = t.findOwnership(resource, self)
		t.owned[resource] = o
	}
	if o.isOwner && now <= o.exclusiveFrom {
		t.expedite(resource, o, now)
	}
	return t.owned[resource], o.isOwner
}

// expedite asks the members that may still act on the resource for confirmation, and makes the ownership exclusive at once when all have confirmed.
func (t *Tracker) expedite(resource string, o ownership, now pomelo.Millis) {
	if o.previousOwner.VM != "" {
		t.requestConfirmation(o.previousOwner, now)
	}
	e := t.lists[o.firstList]
	if t.allConfirmed(t.members.Self(), e.position, now) {
		o.exclusiveFrom = e.appliedMonotonic
		o.isConfirmed = true
		t.owned[resource] = o
	}
}

// findOwnership returns this process's ownership, from the run of consecutive lists that assign the resource to it.
func (t *Tracker) findOwnership(resource string, self pomelo.Member) ownership {
	last := len(t.lists) - 1
	m, ok := t.owner(last, resource)
	if !ok || !sameTerm(m, self) {
		return ownership{}
	}
	first := t.runStart(last, resource)
	from, isConfirmed := t.exclusiveFrom(first, resource)
	o := ownership{isOwner: true, firstList: first, since: t.lists[first].appliedAt, exclusiveFrom: from, isConfirmed: isConfirmed}
	if previous, ok := t.owner(first-1, resource); ok {
		o.previousOwner = previous
	}
	return t.afterReturns(o)
}

// exclusiveFrom returns the monotonic time after which no previous owner can act on the resource, for ownership that begins with list first, and whether that is known without a later proof of the list.
func (t *Tracker) exclusiveFrom(first int, resource string) (pomelo.Millis, bool) {
	e := t.lists[first]
	if first == 0 {
		if m, _ := t.owner(0, resource); m.SoleOwner {
			return e.appliedMonotonic, true
		}
		return e.appliedMonotonic + maxListAge, false
	}
	previous, ok := t.owner(first-1, resource)
	if !ok || e.relisted || e.young || !hasStopped(previous, e.list) && !t.hasConfirmed(previous, e.position) {
		return e.appliedMonotonic + maxListAge, false
	}
	from, isConfirmed := t.exclusiveFrom(t.runStart(first-1, resource), resource)
	if from <= e.appliedMonotonic {
		return e.appliedMonotonic, true
	}
	return from, isConfirmed
}

// IsSoleOwner reports whether no previous owner can still act on the resources that the list assigns to this process, and asks members that have not confirmed the list to do so.
func (t *Tracker) IsSoleOwner() bool {
	self := t.members.Self()
	t.mu.Lock()
	defer t.mu.Unlock()
	joined := -1
	for i := len(t.lists) - 1; i >= 0 && containsProcess(t.lists[i].active, self); i-- {
		joined = i
	}
	if joined < 0 {
		return false
	}
	if t.isYoung() {
		return false
	}
	if t.verifiedAt > max(t.lists[joined].appliedMonotonic, t.lastRejoin(joined))+maxListAge {
		return true
	}
	return t.allConfirmed(self, t.lists[joined].position, t.clock.Monotonic())
}
