package quorum

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
	defaultOwnershipTTL   = pomelo.Millis(2_000)
	defaultMaxStoreOutage = pomelo.Millis(24 * 3_600_000)
	defaultWatchWait      = pomelo.Millis(25_000)
	defaultRosterSize     = 9
	defaultRosterCount    = 1
	// foundingDelay is the longest time, in milliseconds, that the first roster waits for further candidates.
	foundingDelay    = pomelo.Millis(1_000)
	minCandidates    = 3
	ticksPerTTL      = 20
	heartbeatsPerTTL = 4
	suspectDivisor   = 2
	storeTimeout     = pomelo.Millis(2_000)
	retryPause       = pomelo.Millis(500)
	// candidateTTLs is the number of ownership TTLs between a candidate's heartbeats.
	candidateTTLs    = 15
	logEvent         = "roster_state"
	rosterNamePrefix = "group-"
)

// Coordinator implements pomelo.TimedOwnership and pomelo.OwnershipHistory; every resource is assigned to one of a fixed number of rosters by its hash.
type Coordinator struct {
	members        pomelo.Membership
	store          pomelo.Store
	peers          pomelo.Peers
	clock          pomelo.Clock
	log            pomelo.Logger
	ownershipTTL   pomelo.Millis
	maxStoreOutage pomelo.Millis
	watchWait      pomelo.Millis
	rosterSize     int
	rosterCount    int

	mu        sync.Mutex
	machines  []*roster.Machine
	startedAt pomelo.Millis
	// storeRead is set once the rosters have been listed from the store; no first roster is proposed before.
	storeRead bool
	proposing []bool
	// storeBehind marks rosters whose stored generation is older than the known one.
	storeBehind          []bool
	heartbeatAt          pomelo.Millis
	candidateHeartbeatAt pomelo.Millis
	running              sync.WaitGroup
}

var (
	_ pomelo.TimedOwnership   = (*Coordinator)(nil)
	_ pomelo.OwnershipHistory = (*Coordinator)(nil)
)

// New returns a Coordinator that owns no resource before Run.
func New(members pomelo.Membership, store pomelo.Store, peers pomelo.Peers, clock pomelo.Clock, log pomelo.Logger, opts ...func(*Coordinator)) *Coordinator {
	c := &Coordinator{
		members:        members,
		store:          store,
		peers:          peers,
		clock:          clock,
		log:            log,
		ownershipTTL:   defaultOwnershipTTL,
		maxStoreOutage: defaultMaxStoreOutage,
		watchWait:      defaultWatchWait,
		rosterSize:     defaultRosterSize,
		rosterCount:    defaultRosterCount,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// WithOwnershipTTL sets how long a confirmation of ownership lasts, in milliseconds, unless d is 0; it must be the same on all nodes.
func WithOwnershipTTL(d pomelo.Millis) func(*Coordinator) {
	return func(c *Coordinator) {
		if d > 0 {
			c.ownershipTTL = d
		}
	}
}

// WithMaxStoreOutage sets how long ownership may last without the store, in milliseconds; it must be the same on all nodes.
func WithMaxStoreOutage(d pomelo.Millis) func(*Coordinator) {
	return func(c *Coordinator) { c.maxStoreOutage = d }
}

// WithWatchWait sets how long one watch request waits for changes, in milliseconds.
func WithWatchWait(d pomelo.Millis) func(*Coordinator) {
	return func(c *Coordinator) { c.watchWait = d }
}

// WithRosters sets the number of rosters, which must be the same on all nodes for the life of the fleet, and the maximum number of members of each.
func WithRosters(rosters, size int) func(*Coordinator) {
	return func(c *Coordinator) {
		c.rosterCount = rosters
		c.rosterSize = size
	}
}

// Run takes part in the rosters until ctx is done; the membership must know this node's own record.
func (c *Coordinator) Run(ctx context.Context) {
	c.start()
	c.running.Go(func() { c.watch(ctx) })
	tick := max(c.ownershipTTL/ticksPerTTL, 1)
	for c.clock.Sleep(ctx, tick) == nil {
		c.tick(ctx, tick)
	}
	c.running.Wait()
}

// Owner returns the member that owns the resource, as far as this node knows; false while no roster is known.
func (c *Coordinator) Owner(resource string) (pomelo.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines == nil {
		return pomelo.Member{}, false
	}
	return c.machine(resource).Owner(resource)
}

// IsOwner reports whether this node may act on the resource now.
func (c *Coordinator) IsOwner(resource string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines != nil && c.machine(resource).IsOwner(c.clock.Now(), resource)
}

// OwnedSince returns when this node became the owner of the resource; 0 if it is not the owner.
func (c *Coordinator) OwnedSince(resource string) pomelo.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines == nil {
		return 0
	}
	return c.machine(resource).OwnedSince(c.clock.Now(), resource)
}

// OwnedFor returns for how many milliseconds of monotonic time, at least, this node has owned the resource; 0 if it is not the owner.
func (c *Coordinator) OwnedFor(resource string) pomelo.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines == nil {
		return 0
	}
	return c.machine(resource).OwnedFor(c.clock.Now(), resource)
}

// PreviousOwner returns the member that owned the resource in the previous generation.
func (c *Coordinator) PreviousOwner(resource string) (pomelo.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines == nil {
		return pomelo.Member{}, false
	}
	return c.machine(resource).PreviousOwner(resource)
}

// PreviouslyOwnedSince returns when this node became the owner of a resource that it owned in the previous generation; false if it did not own it.
func (c *Coordinator) PreviouslyOwnedSince(resource string) (pomelo.Millis, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines == nil {
		return 0, false
	}
	return c.machine(resource).PreviouslyOwnedSince(resource)
}

// StableSince returns a time since which this node has become the owner of no further resource.
func (c *Coordinator) StableSince() pomelo.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	out := pomelo.Millis(0)
	for _, m := range c.machines {
		out = max(out, m.StableSince(now))
	}
	return out
}

// Rosters returns the known generation of each roster.
func (c *Coordinator) Rosters() []pomelo.Roster {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []pomelo.Roster
	for _, m := range c.machines {
		out = append(out, m.Roster())
	}
	return out
}

// Resign ends all ownership of this process for good and notifies the other members, so that they need not wait.
func (c *Coordinator) Resign(ctx context.Context) {
	c.mu.Lock()
	for _, m := range c.machines {
		m.Resign(c.clock.Now())
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, retryPause.Duration())
	defer cancel()
	var notified sync.WaitGroup
	for i := range c.rosterCount {
		for _, to := range c.targets(i) {
			notified.Go(func() { c.sendHeartbeat(ctx, i, to) })
		}
	}
	notified.Wait()
}

func (c *Coordinator) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	self := c.members.Self()
	c.startedAt = now
	c.proposing = make([]bool, c.rosterCount)
	c.storeBehind = make([]bool, c.rosterCount)
	for i := range c.rosterCount {
		name := rosterName(i)
		changed := func(from, to string) {
			c.log.Info(logEvent, "roster", name, "from", from, "to", to)
		}
		c.machines = append(c.machines, roster.New(name, self, now,
			roster.WithTimes(c.ownershipTTL, c.ownershipTTL/suspectDivisor, c.maxStoreOutage),
			roster.WithMaxMembers(c.rosterSize),
			roster.WithStateChange(changed)))
	}
}

func (c *Coordinator) machine(resource string) *roster.Machine {
	return c.machines[xxhash.Sum64String(resource)%uint64(len(c.machines))]
}

func rosterName(i int) string {
	return rosterNamePrefix + strconv.Itoa(i)
}
