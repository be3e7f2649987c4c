package tenure

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pomeloworks/pomelo"
)

// trustFor is how old, in milliseconds, the knowledge of the members may be for a holder to act on it; a new holder waits as long.
const trustFor = pomelo.Millis(3_000)

// Members is the store's list of members and the age of its last proof.
type Members interface {
	Current() []pomelo.Member
	MembersAge() pomelo.Millis
	Self() pomelo.Member
}

// Tenure implements pomelo.Tenure without any message of its own.
type Tenure struct {
	members Members
	clock   pomelo.SteadyClock

	mu    sync.Mutex
	list  []pomelo.Member
	since pomelo.Millis
	held  map[string]pomelo.Millis
}

var _ pomelo.Tenure = (*Tenure)(nil)

// New returns a tenure that holds nothing before the first Change.
func New(members Members, clock pomelo.SteadyClock, opts ...func(*Tenure)) *Tenure {
	t := &Tenure{members: members, clock: clock, held: map[string]pomelo.Millis{}}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Change takes in a new list of members; rights that stay with this node keep their time.
func (t *Tenure) Change() {
	list := live(t.members.Current())
	self := t.members.Self().VM
	t.mu.Lock()
	defer t.mu.Unlock()
	if same(t.list, list) {
		t.list = list
		return
	}
	t.list = list
	t.since = t.clock.Steady()
	for right := range t.held {
		if m, ok := owner(list, right); !ok || m.VM != self {
			delete(t.held, right)
		}
	}
}

// Owner is the member with the highest hash of its VM and the right.
func (t *Tenure) Owner(right string) (pomelo.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return owner(t.list, right)
}

// Holds reports whether this node may act on the right now.
func (t *Tenure) Holds(right string) bool {
	return t.HeldFor(right) > 0
}

// Since is when this node took the right over, by its steady clock, or 0.
func (t *Tenure) Since(right string) pomelo.Millis {
	since, ok := t.start(right)
	if !ok {
		return 0
	}
	return max(since, 1)
}

// HeldFor is for how long no other node can have acted on the right; it is not positive until the holder before must have stopped.
func (t *Tenure) HeldFor(right string) pomelo.Millis {
	since, ok := t.start(right)
	if !ok {
		return 0
	}
	return t.clock.Steady() - since - trustFor
}

func (t *Tenure) start(right string) (pomelo.Millis, bool) {
	stale := t.members.MembersAge() > trustFor
	self := t.members.Self().VM
	t.mu.Lock()
	defer t.mu.Unlock()
	if stale {
		// Another member may have held any right meanwhile.
		clear(t.held)
		t.since = t.clock.Steady()
		return 0, false
	}
	m, ok := owner(t.list, right)
	if !ok || m.VM != self {
		return 0, false
	}
	since, ok := t.held[right]
	if !ok {
		since = t.since
		t.held[right] = since
	}
	return since, true
}

func live(members []pomelo.Member) []pomelo.Member {
	var out []pomelo.Member
	for _, m := range members {
		if !m.Draining {
			out = append(out, m)
		}
	}
	return out
}

// same compares by process, since a new process of a VM has forgotten what the one before granted.
func same(a, b []pomelo.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].VM != b[i].VM {
			return false
		}
	}
	return true
}

func owner(list []pomelo.Member, right string) (pomelo.Member, bool) {
	var best pomelo.Member
	var most uint64
	for _, m := range list {
		if h := xxhash.Sum64String(m.VM + " " + right); best.VM == "" || h > most {
			best = m
			most = h
		}
	}
	return best, best.VM != ""
}
