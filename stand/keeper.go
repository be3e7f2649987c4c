package stand

import (
	"context"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/roster"
)

// Defaults; times in milliseconds.
const (
	defaultStanding = pomelo.Millis(2_000)
	defaultLost     = pomelo.Millis(24 * 3_600_000)
	defaultWait     = pomelo.Millis(25_000)
	defaultSize     = 9
	defaultGroups   = 1
	// settle is how long a first roster waits for more than one candidate.
	settle       = pomelo.Millis(1_000)
	enough       = 3
	ticksPerTerm = 20
	beatsPerTerm = 4
	suspectShare = 2
	storeTimeout = pomelo.Millis(2_000)
	retryPause   = pomelo.Millis(500)
	// followTerms is how many standing times pass between a candidate's heartbeats.
	followTerms   = 15
	logEvent      = "roster_state"
	groupNameBase = "group-"
)

// Keeper implements pomelo.Standing; every right belongs to one of a fixed number of rosters by its hash.
type Keeper struct {
	members  pomelo.Membership
	store    pomelo.Store
	peers    pomelo.Peers
	clock    pomelo.Clock
	log      pomelo.Logger
	standing pomelo.Millis
	lost     pomelo.Millis
	wait     pomelo.Millis
	size     int
	groups   int

	mu       sync.Mutex
	machines []*roster.Machine
	started  pomelo.Millis
	// read is set once the store has said which rosters exist; no first roster is proposed before.
	read      bool
	proposing []bool
	// behind marks rosters whose record in the store is older than what is known here.
	behind   []bool
	beatAt   pomelo.Millis
	followAt pomelo.Millis
	running  sync.WaitGroup
}

var (
	_ pomelo.TimedOwnership   = (*Keeper)(nil)
	_ pomelo.OwnershipHistory = (*Keeper)(nil)
)

// New returns a keeper that holds no right before Run.
func New(members pomelo.Membership, store pomelo.Store, peers pomelo.Peers, clock pomelo.Clock, log pomelo.Logger, opts ...func(*Keeper)) *Keeper {
	k := &Keeper{
		members:  members,
		store:    store,
		peers:    peers,
		clock:    clock,
		log:      log,
		standing: defaultStanding,
		lost:     defaultLost,
		wait:     defaultWait,
		size:     defaultSize,
		groups:   defaultGroups,
	}
	for _, o := range opts {
		o(k)
	}
	return k
}

// WithStanding sets how long a confirmation lasts, in milliseconds, unless d is 0; all nodes must have the same.
func WithStanding(d pomelo.Millis) func(*Keeper) {
	return func(k *Keeper) {
		if d > 0 {
			k.standing = d
		}
	}
}

// WithLost sets how long standing may last without the store, in milliseconds; all nodes must have the same.
func WithLost(d pomelo.Millis) func(*Keeper) {
	return func(k *Keeper) { k.lost = d }
}

// WithWatchWait sets how long one watch waits, in milliseconds.
func WithWatchWait(d pomelo.Millis) func(*Keeper) {
	return func(k *Keeper) { k.wait = d }
}

// WithRosters sets the number of rosters, which must be the same on all nodes for the fleet's life, and the members of each.
func WithRosters(groups, size int) func(*Keeper) {
	return func(k *Keeper) {
		k.groups = groups
		k.size = size
	}
}

// Run takes part until the context ends; the membership must know this node's own record.
func (k *Keeper) Run(ctx context.Context) {
	k.begin()
	k.running.Go(func() { k.watch(ctx) })
	tick := max(k.standing/ticksPerTerm, 1)
	for k.clock.Sleep(ctx, tick) == nil {
		k.tick(ctx, tick)
	}
	k.running.Wait()
}

// Owner is the member that the right belongs to, as far as this node knows.
func (k *Keeper) Owner(right string) (pomelo.Member, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.machines == nil {
		return pomelo.Member{}, false
	}
	return k.machine(right).Owner(right)
}

// IsOwner reports whether this node may act on the right now.
func (k *Keeper) IsOwner(right string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machines != nil && k.machine(right).Holds(k.clock.Now(), right)
}

// OwnedSince is when this node took the right over; 0 if it does not hold it.
func (k *Keeper) OwnedSince(right string) pomelo.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.machines == nil {
		return 0
	}
	return k.machine(right).Since(k.clock.Now(), right)
}

// OwnedFor is for how long, by a steady clock and at least, this node has held the right.
func (k *Keeper) OwnedFor(right string) pomelo.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.machines == nil {
		return 0
	}
	return k.machine(right).HeldFor(k.clock.Now(), right)
}

// PreviousOwner is the member that the right belonged to in the generation before the known one.
func (k *Keeper) PreviousOwner(right string) (pomelo.Member, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.machines == nil {
		return pomelo.Member{}, false
	}
	return k.machine(right).Before(right)
}

// PreviouslyOwnedSince is when this node had taken a right over that it lost by the latest change.
func (k *Keeper) PreviouslyOwnedSince(right string) (pomelo.Millis, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.machines == nil {
		return 0, false
	}
	return k.machine(right).Former(right)
}

// Settled is a time since when this node has gained no right.
func (k *Keeper) Settled() pomelo.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	out := pomelo.Millis(0)
	for _, m := range k.machines {
		out = max(out, m.Settled(now))
	}
	return out
}

// Rosters are the known generations, one of each roster.
func (k *Keeper) Rosters() []pomelo.Roster {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []pomelo.Roster
	for _, m := range k.machines {
		out = append(out, m.Roster())
	}
	return out
}

// Resign gives up all rights of this process for good and tells the other members, so that they need not wait.
func (k *Keeper) Resign(ctx context.Context) {
	k.mu.Lock()
	for _, m := range k.machines {
		m.Resign(k.clock.Now())
	}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, retryPause.Duration())
	defer cancel()
	var told sync.WaitGroup
	for i := range k.groups {
		for _, to := range k.targets(i) {
			told.Go(func() { k.ask(ctx, i, to) })
		}
	}
	told.Wait()
}

func (k *Keeper) begin() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	self := k.members.Self()
	k.started = now
	k.proposing = make([]bool, k.groups)
	k.behind = make([]bool, k.groups)
	for i := range k.groups {
		name := groupName(i)
		changed := func(from, to string) {
			k.log.Info(logEvent, "roster", name, "from", from, "to", to)
		}
		k.machines = append(k.machines, roster.New(name, self, now,
			roster.WithTimes(k.standing, k.standing/suspectShare, k.lost),
			roster.WithSize(k.size),
			roster.WithChanged(changed)))
	}
}

func (k *Keeper) machine(right string) *roster.Machine {
	return k.machines[xxhash.Sum64String(right)%uint64(len(k.machines))]
}

func groupName(i int) string {
	return groupNameBase + strconv.Itoa(i)
}
