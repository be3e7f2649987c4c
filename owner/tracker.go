package owner

import (
	"sync"

	"github.com/pomeloworks/pomelo"
)

// Times in milliseconds.
const (
	// maxListAge is the maximum age of the member list that an owner may act on, less than the 5 s for which keys count as fresh; a new owner waits for the same time before it acts on a resource whose previous owner is unresponsive.
	maxListAge = pomelo.Millis(4_500)
	// maxUnseenGap is the longest gap, in which changes of the list may have been missed, after which the earlier epochs are retained: it is shorter than the time that a member needs to join, wait for an unresponsive owner, own a resource and be removed.
	maxUnseenGap = pomelo.Millis(4_000)
	// confirmInterval is the interval between two confirmation requests to one member: a few round trips within a region.
	confirmInterval = pomelo.Millis(100)
	// leaseMargin is the time before the expiry of its lease at which this node stops acting, for clocks that drift apart by 1%.
	leaseMargin = pomelo.Millis(100)
)

// maxEpochs bounds the retained epochs; a resource owned through all of them counts as owned since the oldest.
const maxEpochs = 16

// maxConfirmMembers is the largest number of members that a new member asks to confirm its list, so that its work does not grow with the fleet.
const maxConfirmMembers = 32

// Members provides the store's member list, the store revision that the list has reached, and the time since the list was last verified.
type Members interface {
	Current() []pomelo.Member
	MembersRevision() pomelo.Revision
	MembersAge() pomelo.Millis
	Self() pomelo.Member
}

// Tracker implements pomelo.TimedOwnership from the member lists, times and confirmations passed to it; it does no I/O of its own.
type Tracker struct {
	members         Members
	clock           pomelo.MonotonicClock
	leaseExpiresAt  func() pomelo.Millis
	requestRevision func(pomelo.Member)

	mu sync.Mutex
	// epochs are the latest member lists, the newest last.
	epochs []epoch
	// owned caches the ownership of each requested resource for the newest list and the process's current term.
	owned map[string]ownership
	term  int64
	// verifiedAt is the monotonic time at which the list was last known to be current.
	verifiedAt pomelo.Millis
	// confirmedRevision is the list revision that each process has confirmed, and requestedAt the monotonic time of the last request to it.
	confirmedRevision map[process]pomelo.Revision
	requestedAt       map[process]pomelo.Millis
}

// ownership describes this process's ownership of a resource: since is the wall-clock time from which the lists assign the resource to it, and exclusiveFrom the monotonic time after which no previous owner can act on the resource.
type ownership struct {
	isOwner       bool
	since         pomelo.Millis
	exclusiveFrom pomelo.Millis
	// firstEpoch is the index of the epoch in which the ownership began; previousOwner owned the resource until then, and may still act on it until it confirms that list.
	firstEpoch    int
	previousOwner pomelo.Member
}

var _ pomelo.TimedOwnership = (*Tracker)(nil)

// New returns a Tracker that owns nothing before the first ApplyChange; leaseExpiresAt returns the monotonic time until which, at least, the store retains this node's own record.
func New(members Members, clock pomelo.MonotonicClock, leaseExpiresAt func() pomelo.Millis, opts ...func(*Tracker)) *Tracker {
	t := &Tracker{
		members:           members,
		clock:             clock,
		leaseExpiresAt:    leaseExpiresAt,
		requestRevision:   func(pomelo.Member) {},
		owned:             map[string]ownership{},
		confirmedRevision: map[process]pomelo.Revision{},
		requestedAt:       map[process]pomelo.Millis{},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// WithRevisionRequest sets the function that asks a member which revision of the list it knows; its answer is passed to ConfirmRevision.
func WithRevisionRequest(request func(pomelo.Member)) func(*Tracker) {
	return func(t *Tracker) { t.requestRevision = request }
}

// ApplyChange applies a new member list; it must be called for each change of the store's list, in order.
func (t *Tracker) ApplyChange() {
	t.apply(false)
}

// ApplyRelist applies a member list that was read anew, so that changes before it may have been missed. Records outlive maxUnseenGap: another member can have joined and been removed only in a longer gap, and an expiry of this node's own record is visible in the list.
func (t *Tracker) ApplyRelist() {
	t.apply(true)
}

func (t *Tracker) apply(relisted bool) {
	list := t.members.Current()
	self := t.members.Self()
	age := t.members.MembersAge()
	revision := t.members.MembersRevision()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Monotonic()
	t.verifiedAt = max(t.verifiedAt, now-age)
	next := epoch{list: list, appliedMonotonic: now, appliedAt: t.clock.Now(), revision: revision, relisted: relisted}
	switch {
	case relisted && (now-t.verifiedAt > maxUnseenGap || !sameRecord(t.currentList(), list, self.VM)):
		t.epochs = []epoch{next}
	case len(t.epochs) > 0 && sameActive(t.currentList(), list):
		t.epochs[len(t.epochs)-1].list = list
	default:
		t.epochs = append(t.epochs, next)
	}
	if len(t.epochs) > maxEpochs {
		t.epochs = t.epochs[1:]
	}
	t.dropUnlisted()
	clear(t.owned)
}

// currentList returns the newest member list.
func (t *Tracker) currentList() []pomelo.Member {
	if len(t.epochs) == 0 {
		return nil
	}
	return t.epochs[len(t.epochs)-1].list
}

// Owner returns the member that owns the resource, the one with the highest hash of its VM and the resource; false if there is none.
func (t *Tracker) Owner(resource string) (pomelo.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.owner(len(t.epochs)-1, resource)
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
	e := t.epochs[o.firstEpoch]
	if t.allConfirmed(t.members.Self(), e.revision, now) {
		o.exclusiveFrom = e.appliedMonotonic
		t.owned[resource] = o
	}
}

// findOwnership returns this process's ownership, from the run of consecutive lists that assign the resource to it.
func (t *Tracker) findOwnership(resource string, self pomelo.Member) ownership {
	last := len(t.epochs) - 1
	m, ok := t.owner(last, resource)
	if !ok || !sameTerm(m, self) {
		return ownership{}
	}
	first := t.runStart(last, resource)
	o := ownership{isOwner: true, firstEpoch: first, since: t.epochs[first].appliedAt, exclusiveFrom: t.exclusiveFrom(first, resource)}
	if previous, ok := t.owner(first-1, resource); ok {
		o.previousOwner = previous
	}
	return o
}

// exclusiveFrom returns the monotonic time after which no previous owner can act on the resource, for ownership that begins at epoch first.
func (t *Tracker) exclusiveFrom(first int, resource string) pomelo.Millis {
	at := t.epochs[first].appliedMonotonic
	if first == 0 {
		if m, _ := t.owner(0, resource); m.SoleOwner {
			return at
		}
		return at + maxListAge
	}
	previous, ok := t.owner(first-1, resource)
	if !ok || t.epochs[first].relisted || !hasStopped(previous, t.epochs[first].list) && !t.hasConfirmed(previous, t.epochs[first].revision) {
		return at + maxListAge
	}
	return max(at, t.exclusiveFrom(t.runStart(first-1, resource), resource))
}

// IsSoleOwner reports whether no previous owner can still act on the resources that the list assigns to this process, and asks members that have not confirmed the list to do so.
func (t *Tracker) IsSoleOwner() bool {
	self := t.members.Self()
	t.mu.Lock()
	defer t.mu.Unlock()
	joined := -1
	for i := len(t.epochs) - 1; i >= 0 && containsProcess(active(t.epochs[i].list), self); i-- {
		joined = i
	}
	if joined < 0 {
		return false
	}
	now := t.clock.Monotonic()
	if now > t.epochs[joined].appliedMonotonic+maxListAge {
		return true
	}
	return t.allConfirmed(self, t.epochs[joined].revision, now)
}
