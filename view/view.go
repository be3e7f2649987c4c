package view

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/census"
	"github.com/pomeloworks/pomelo/outage"
	"github.com/pomeloworks/pomelo/proof"
	"github.com/pomeloworks/pomelo/zones"
)

// Times in milliseconds.
const (
	// readInterval is the interval between two confirmations of this node's copy, short enough that confirmations relayed by one peer are younger than the 2 s that ownership of resources requires.
	readInterval = pomelo.Millis(700)
	// retryDelay is the delay after a failed call of the store.
	retryDelay = pomelo.Millis(250)
	// awayPoll is the interval of checks whether the store may be called again.
	awayPoll = pomelo.Millis(50)
	// watchWait is below the store's maximum wait of 30 s.
	watchWait = pomelo.Millis(25_000)
	// maxWatchLag is the longest time for which a watch may lack a change that a read has shown before the watch counts as unresponsive.
	maxWatchLag = pomelo.Millis(400)
	// outageThreshold is the time without a confirmation after which the next one is logged as the end of a store outage.
	outageThreshold = pomelo.Millis(2_500)
	// neverReadAge is the age before the first read.
	neverReadAge = pomelo.Millis(1) << 40
)

// View implements pomelo.PolicySource and pomelo.Membership over the store's records.
type View struct {
	store     pomelo.Store
	clock     pomelo.MonotonicClock
	log       pomelo.Logger
	policyKey string
	parse     func([]byte) (pomelo.PolicySpec, error)
	self      func() pomelo.Member

	mu     sync.Mutex
	policy pomelo.Policy
	// spec is what the policy was made of.
	spec pomelo.PolicySpec
	// keysRequired is set once any policy in force has required keys, at this node or at another one.
	keysRequired bool
	// policyValue is the policy as the store has it.
	policyValue []byte
	// unusableValue is the last policy that could not be read, unless a later one could.
	unusableValue []byte
	// isFromPeer marks a policy that another node had.
	isFromPeer bool
	proof      *proof.Proof
	census     *census.Census
	watchLag   lag
	// consultedEpoch is the epoch of the store in which peers were last asked for a later policy than the store's.
	consultedEpoch int64
	maxPolicyAge   pomelo.Millis
	cancelWatch    context.CancelFunc
	onChange       []func()
	onRelist       []func()
	onStoreReturn  []func()
	onDrop         []func()
	onRecord       map[string]func(pomelo.Record)
	onOverwritten  []func()
	onKeysRequired []func()
	onPolicy       []func()
	// evacuationPrefix is the prefix of the evacuations' records; empty if evacuations don't apply.
	evacuationPrefix string
	zones            *zones.Evacuations
	evacuated        atomic.Pointer[[]string]
	onEvacuation     []func(zone string, evacuated bool)
	// index is nil after a change of the members until it is next needed.
	index     atomic.Pointer[memberIndex]
	servingMu sync.Mutex
	serving   servingLists
	peers     pomelo.Peers
	metrics   pomelo.Metrics
	outage    *outage.Outage
	// relay is nil unless changes are received from other nodes.
	relay *relay
	// requestCount counts the selected parents, so that they rotate; only Run uses it.
	requestCount int
	// isSecondReader is set if this node takes over the proofs of another reader; only Run uses it.
	isSecondReader bool
	listed         chan struct{}
	listedOnce     sync.Once
}

// lag is a revision that a read has shown and the watch has not reached, with the times when that read began and when the lag was detected.
type lag struct {
	revision   pomelo.Revision
	readStart  pomelo.Millis
	detectedAt pomelo.Millis
}

var (
	_ pomelo.PolicySource = (*View)(nil)
	_ pomelo.Membership   = (*View)(nil)
	_ pomelo.Evacuations  = (*View)(nil)
)

// New returns a view that is empty until Run reads the store; policyKey is the store key of the policy, which parse decodes.
func New(store pomelo.Store, clock pomelo.MonotonicClock, log pomelo.Logger, policyKey string, parse func([]byte) (pomelo.PolicySpec, error), self func() pomelo.Member, opts ...func(*View)) *View {
	v := &View{
		store:     store,
		clock:     clock,
		log:       log,
		policyKey: policyKey,
		parse:     parse,
		self:      self,
		census:    census.New(self().VM),
		zones:     zones.New(),
		listed:    make(chan struct{}),
		outage:    outage.New(),
		onRecord:  map[string]func(pomelo.Record){},
	}
	v.publishEvacuated()
	for _, o := range opts {
		o(v)
	}
	v.proof = proof.New(v.maxPolicyAge)
	return v
}

// WithPeers makes most members request the Freshness of peers instead of reading the store.
func WithPeers(p pomelo.Peers, m pomelo.Metrics) func(*View) {
	return func(v *View) {
		v.peers = p
		v.metrics = m
	}
}

// WithMaxPolicyAge sets for how many milliseconds after its last proof a policy is used for keys.
func WithMaxPolicyAge(d pomelo.Millis) func(*View) {
	return func(v *View) { v.maxPolicyAge = d }
}

// WithOutage shares what is known about the store being away.
func WithOutage(o *outage.Outage) func(*View) {
	return func(v *View) { v.outage = o }
}

// OnStoreReturn registers a function that is called when the store has returned from a copy; it must be called before Run.
func (v *View) OnStoreReturn(f func()) {
	v.onStoreReturn = append(v.onStoreReturn, f)
}

// OnDrop registers a function that is called after members were dropped that did not announce themselves again after the store returned; it must be called before Run.
func (v *View) OnDrop(f func()) {
	v.onDrop = append(v.onDrop, f)
}

// OnOverwritten registers a function that is called when this node's own record in the store names no member; it must be called before Run.
func (v *View) OnOverwritten(f func()) {
	v.onOverwritten = append(v.onOverwritten, f)
}

// OnPolicy registers a function that is called after each change of the policy; it must be called before Run.
func (v *View) OnPolicy(f func()) {
	v.onPolicy = append(v.onPolicy, f)
}

// OnKeysRequired registers a function that is called once a policy has required keys, possibly more than once; it must be called before Run.
func (v *View) OnKeysRequired(f func()) {
	v.onKeysRequired = append(v.onKeysRequired, f)
}

// OnRecord registers a function that is called with each record under the prefix when it is listed or has changed, possibly more than once; it must be called before Run.
func (v *View) OnRecord(prefix string, f func(pomelo.Record)) {
	v.onRecord[prefix] = f
}

// OnChange registers change, called after each change of the members in order, and relisted, called after each new list, before which changes may have been missed; it must be called before Run.
func (v *View) OnChange(change, relisted func()) {
	v.onChange = append(v.onChange, change)
	v.onRelist = append(v.onRelist, relisted)
}

// Listed returns a channel that is closed once the members have been read and OnChange's relisted functions have been called for the first time.
func (v *View) Listed() <-chan struct{} {
	return v.listed
}

// MembersAge returns the milliseconds since the start of the last read that proved the members to be current while this node's own record was among them.
func (v *View) MembersAge() pomelo.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ageOf(v.census.OwnProofAt())
}

func (v *View) ageOf(at pomelo.Millis, known bool) pomelo.Millis {
	if !known {
		return neverReadAge
	}
	return v.clock.Monotonic() - at
}

// MembersPosition returns a state of the store that the list of members has reached; the list may be newer.
func (v *View) MembersPosition() pomelo.Position {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.census.Position()
}

// Run reads and watches the store until the context ends.
func (v *View) Run(ctx context.Context) {
	go v.listAndWatch(ctx)
	for ctx.Err() == nil {
		_ = v.clock.Sleep(ctx, v.refresh(ctx))
	}
}

// refresh proves this node's copy by a peer's or by a read of the store, and returns the delay until the next time.
func (v *View) refresh(ctx context.Context) pomelo.Millis {
	defer v.dropMembers()
	defer v.dropEvacuations()
	hasPolicy := v.hasPolicy()
	if hasPolicy {
		v.consult(ctx)
	}
	if v.confirmByPeer(ctx) {
		v.outage.Hint(v.clock.Monotonic(), rand.Float64())
		return v.refreshDelay()
	}
	if v.leavesStoreToOthers() || !v.outage.Allow(v.clock.Monotonic()) {
		return retryDelay
	}
	err := v.read(ctx)
	v.record(err)
	if err != nil {
		v.log.Warn("store_read_failed", "age_ms", v.Age(), "error", err.Error())
		return retryDelay
	}
	if !hasPolicy && v.isUnconsulted() {
		return 0
	}
	return v.refreshDelay()
}

func (v *View) record(err error) {
	v.outage.Record(err, v.clock.Monotonic(), rand.Float64())
}

// awaitStore waits until this node may call the store, or until the limit in milliseconds; it reports whether the store has been away, so that the call's result must be known soon, and whether it may be called.
func (v *View) awaitStore(ctx context.Context, limit pomelo.Millis) (away, allowed bool) {
	giveUpAt := v.clock.Monotonic() + limit
	away = v.outage.IsAway()
	for ctx.Err() == nil {
		now := v.clock.Monotonic()
		if v.outage.Allow(now) {
			return away, true
		}
		if now >= giveUpAt {
			return away, false
		}
		_ = v.clock.Sleep(ctx, awayPoll)
	}
	return away, false
}

// read proves the policy, and the members as soon as the watch has reached the revision that was read.
func (v *View) read(ctx context.Context) error {
	start := v.clock.Monotonic()
	l, err := v.store.List(ctx, v.policyKey)
	if err != nil {
		return err
	}
	v.observeEpoch(l.Epoch)
	shown := int64(0)
	for _, r := range l.Records {
		if r.Key == v.policyKey {
			shown = v.adoptPolicy(r, sourceRead)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmPolicy(l.Epoch, start, shown)
	v.comparePosition(l.Position(), start)
	return nil
}

// observeEpoch has the members listed anew, and others told, when the store has returned from a copy.
func (v *View) observeEpoch(epoch int64) {
	v.mu.Lock()
	previous := v.proof.Epoch()
	isNew := v.proof.ObserveEpoch(epoch, v.clock.Monotonic())
	if isNew && v.cancelWatch != nil {
		v.cancelWatch()
	}
	v.mu.Unlock()
	if !isNew || previous == 0 {
		return
	}
	v.log.Warn("store_returned", "epoch", epoch, "previous", previous, "policy_age_ms", v.Age(), "members_age_ms", v.MembersAge())
	for _, f := range v.onStoreReturn {
		f()
	}
}

// dropMembers drops the members that have not been seen again for long enough after they expired, or after the store returned from a copy.
func (v *View) dropMembers() {
	v.mu.Lock()
	now := v.clock.Monotonic()
	dropped := v.census.DropCarried(now)
	if v.census.DropExpired(now) {
		v.index.Store(nil)
	}
	v.mu.Unlock()
	v.publish(dropped, v.onDrop)
}

// publish drops the index of the members and calls the callbacks if the members have changed.
func (v *View) publish(changed bool, callbacks []func()) {
	if !changed {
		return
	}
	v.mu.Lock()
	v.index.Store(nil)
	v.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}
