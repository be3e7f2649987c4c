package tenure

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pomeloworks/pomelo"
)

// trustFor is how old, in milliseconds, the knowledge of the members may be for a holder to act on it; a new holder waits as long.
const trustFor = pomelo.Millis(2_000)

// unseenFor is how long, in milliseconds, changes may go unseen: less than a member's lease of 4 s, by the time that its first write may take.
const unseenFor = pomelo.Millis(3_500)

// epochsMost bounds the lists that are kept; a right held through all of them counts from the oldest.
const epochsMost = 16

// never stands for a right that another member holds.
const never = pomelo.Millis(-1 << 62)

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

	mu sync.Mutex
	// epochs are the last lists, the newest last.
	epochs []epoch
	// held caches since when this node has held a right, for the newest list.
	held map[string]pomelo.Millis
	// fresh is when the list was last known to hold.
	fresh pomelo.Millis
}

// epoch is a list of members and when it came into force here.
type epoch struct {
	list []pomelo.Member
	at   pomelo.Millis
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

// Change takes in a new list of members; each change of the store's list has to come through here, in its order.
func (t *Tenure) Change() {
	t.take(false)
}

// Relisted takes in a list before which changes may have gone unseen. A record lives longer than unseenFor: only in a longer gap can another member have come and gone, and a lapse of this node's own record shows.
func (t *Tenure) Relisted() {
	t.take(true)
}

func (t *Tenure) take(relisted bool) {
	list := t.members.Current()
	self := t.members.Self()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Steady()
	switch {
	case len(t.epochs) == 0:
		t.epochs = []epoch{{list: list, at: begin(list, self, now)}}
	case relisted && (now-t.fresh > unseenFor || rewritten(t.list(), list, self.VM)):
		t.epochs = []epoch{{list: list, at: now}}
	case owners(t.list(), list):
		t.epochs[len(t.epochs)-1].list = list
	default:
		t.epochs = append(t.epochs, epoch{list: list, at: now})
	}
	if len(t.epochs) > epochsMost {
		t.epochs = t.epochs[1:]
	}
	clear(t.held)
}

// begin is since when this node holds its rights at its first list; what the process before held on this VM goes on, if its record shows that nobody else can have held it since.
func begin(list []pomelo.Member, self pomelo.Member, now pomelo.Millis) pomelo.Millis {
	for _, m := range list {
		if m.VM == self.VM && !m.Draining && m.Incarnation != self.Incarnation {
			return now - trustFor
		}
	}
	return now
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
	return owner(t.list(), right)
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
	age := t.members.MembersAge()
	self := t.members.Self().VM
	t.mu.Lock()
	defer t.mu.Unlock()
	if age > trustFor {
		return 0, false
	}
	t.fresh = max(t.fresh, t.clock.Steady()-age)
	since, ok := t.held[right]
	if !ok {
		since = t.sinceOf(right, self)
		t.held[right] = since
	}
	return since, since != never
}

// sinceOf goes back through the lists as long as they give the right to this node.
func (t *Tenure) sinceOf(right, self string) pomelo.Millis {
	since := never
	for _, e := range slices.Backward(t.epochs) {
		m, ok := owner(e.list, right)
		if !ok || m.VM != self {
			break
		}
		since = e.at
	}
	return since
}

// rewritten reports whether the VM's record in the second list is not the one in the first.
func rewritten(a, b []pomelo.Member, vm string) bool {
	of := func(m pomelo.Member) bool { return m.VM == vm }
	i := slices.IndexFunc(a, of)
	j := slices.IndexFunc(b, of)
	return i < 0 || j < 0 || a[i].Revision != b[j].Revision
}

// owners reports whether the lists give every right to the same VM.
func owners(a, b []pomelo.Member) bool {
	same := func(x, y pomelo.Member) bool { return x.VM == y.VM }
	return slices.EqualFunc(live(a), live(b), same)
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

func owner(list []pomelo.Member, right string) (pomelo.Member, bool) {
	var best pomelo.Member
	var most uint64
	for _, m := range list {
		if m.Draining {
			continue
		}
		if h := xxhash.Sum64String(m.VM + " " + right); best.VM == "" || h > most {
			best = m
			most = h
		}
	}
	return best, best.VM != ""
}
