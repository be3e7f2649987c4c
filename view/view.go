package view

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/census"
	"github.com/pomeloworks/pomelo/guard"
	"github.com/pomeloworks/pomelo/outage"
	"github.com/pomeloworks/pomelo/policy"
	"github.com/pomeloworks/pomelo/proof"
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
	// policyValue is the policy as the store has it.
	policyValue []byte
	proof       *proof.Proof
	census      *census.Census
	watchLag    lag
	// consultedEpoch is the epoch of the store in which peers were last asked for a later policy than the store's.
	consultedEpoch int64
	maxPolicyAge   pomelo.Millis
	cancelWatch    context.CancelFunc
	onChange       []func()
	onRelist       []func()
	onStoreReturn  []func()
	onDrop         []func()
	index          atomic.Pointer[memberIndex]
	peers          pomelo.Peers
	metrics        pomelo.Metrics
	outage         *outage.Outage
	// requestCount counts the selected parents, so that they rotate; only Run uses it.
	requestCount int
	listed       chan struct{}
	listedOnce   sync.Once
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
		listed:    make(chan struct{}),
		outage:    outage.New(),
	}
	v.index.Store(newMemberIndex(nil))
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

// OnChange registers change, called after each change of the members in order, and relisted, called after each new list, before which changes may have been missed; it must be called before Run.
func (v *View) OnChange(change, relisted func()) {
	v.onChange = append(v.onChange, change)
	v.onRelist = append(v.onRelist, relisted)
}

// Listed returns a channel that is closed once the members have been read and OnChange's relisted functions have been called for the first time.
func (v *View) Listed() <-chan struct{} {
	return v.listed
}

// Policy returns the newest policy, or false until one has been read.
func (v *View) Policy() (pomelo.Policy, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.policy, v.policy != nil
}

// Age returns the milliseconds since the start of the last read that proved the policy to be current.
func (v *View) Age() pomelo.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ageOf(v.proof.ProvenAt())
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
	if v.confirmByPeer(ctx) {
		v.outage.Hint(v.clock.Monotonic(), rand.Float64())
		return readInterval
	}
	if !v.outage.Allow(v.clock.Monotonic()) {
		return retryDelay
	}
	err := v.read(ctx)
	v.record(err)
	if err != nil {
		v.log.Warn("store_read_failed", "age_ms", v.Age(), "error", err.Error())
		return retryDelay
	}
	if v.consult(ctx) {
		return 0
	}
	return readInterval
}

func (v *View) record(err error) {
	v.outage.Record(err, v.clock.Monotonic(), rand.Float64())
}

// awaitStore waits until this node may call the store, and reports whether it has been away, so that the call's result must be known soon.
func (v *View) awaitStore(ctx context.Context) bool {
	away := v.outage.IsAway()
	for !v.outage.Allow(v.clock.Monotonic()) && ctx.Err() == nil {
		_ = v.clock.Sleep(ctx, awayPoll)
	}
	return away
}

// read proves the policy, and the members as soon as the watch has reached the revision that was read.
func (v *View) read(ctx context.Context) error {
	start := v.clock.Monotonic()
	l, err := v.store.List(ctx, v.policyKey)
	if err != nil {
		return err
	}
	v.observeEpoch(l.Epoch)
	for _, r := range l.Records {
		v.adoptPolicy(r, "read")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmPolicy(l.Epoch, start)
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

// confirmPolicy records that a read of the epoch that began at start showed the current policy; the mutex must be held.
func (v *View) confirmPolicy(epoch int64, start pomelo.Millis) {
	if v.policy == nil || v.needsConsultation() {
		return
	}
	provenAt, known := v.proof.ProvenAt()
	if !v.proof.Confirm(v.policy.Version(), epoch, start) {
		return
	}
	if !known || v.clock.Monotonic()-provenAt > outageThreshold {
		v.log.Info("store_regained", "epoch", epoch, "revision", v.census.Position().Revision, "version", v.policy.Version())
	}
}

// comparePosition proves the members if the watch has reached the position, and otherwise cancels a watch that has become unresponsive; a position of another epoch proves nothing. The mutex must be held.
func (v *View) comparePosition(at pomelo.Position, start pomelo.Millis) {
	watched := v.census.Watched()
	if at.Epoch != watched.Epoch {
		return
	}
	if watched.Revision >= at.Revision {
		v.census.Prove(start)
		return
	}
	now := v.clock.Monotonic()
	if v.watchLag.revision > watched.Revision && now-v.watchLag.detectedAt > maxWatchLag && v.cancelWatch != nil {
		v.log.Warn("watch_silent", "watched", watched.Revision, "read", at.Revision)
		v.cancelWatch()
	}
	if v.watchLag.revision <= watched.Revision {
		v.watchLag = lag{revision: at.Revision, readStart: start, detectedAt: now}
	}
}

// advanceWatched records the watch's progress; the mutex must be held.
func (v *View) advanceWatched(revision pomelo.Revision) {
	v.census.Advance(revision)
	if v.watchLag.revision > 0 && v.census.Watched().Revision >= v.watchLag.revision {
		v.census.Prove(v.watchLag.readStart)
		v.watchLag = lag{}
	}
}

// dropMembers drops the members that have not been seen again for long enough after they expired, or after the store returned from a copy.
func (v *View) dropMembers() {
	v.mu.Lock()
	now := v.clock.Monotonic()
	dropped := v.census.DropCarried(now)
	if v.census.DropExpired(now) {
		v.index.Store(newMemberIndex(v.census.Usable()))
	}
	v.mu.Unlock()
	v.publish(dropped, v.onDrop)
}

// listAndWatch lists the members and then watches for changes, and starts over when the watch ends.
func (v *View) listAndWatch(ctx context.Context) {
	for ctx.Err() == nil {
		_ = v.awaitStore(ctx)
		err := v.list(ctx)
		v.record(err)
		if err != nil {
			v.log.Warn("store_list_failed", "error", err.Error())
			_ = v.clock.Sleep(ctx, awayPoll)
			continue
		}
		v.watch(ctx)
	}
}

func (v *View) list(ctx context.Context) error {
	start := v.clock.Monotonic()
	l, err := v.store.List(ctx, pomelo.PrefixMember)
	if err != nil {
		return err
	}
	v.observeEpoch(l.Epoch)
	v.mu.Lock()
	if l.Epoch < v.proof.Epoch() {
		v.mu.Unlock()
		return errors.Newf("the list is of the store's epoch %d, and %d has been seen", l.Epoch, v.proof.Epoch())
	}
	changed := v.census.Replace(decodeAll(l.Records, v.log), l.Position(), v.clock.Monotonic())
	v.watchLag = lag{}
	v.mu.Unlock()
	v.log.Info("members_listed", "count", len(l.Records), "epoch", l.Epoch, "revision", l.Revision)
	first := false
	v.listedOnce.Do(func() { first = true })
	v.publish(changed || first, nil)
	for _, f := range v.onRelist {
		f()
	}
	if first {
		close(v.listed)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.census.Prove(start)
	return nil
}

// watch applies changes until the member records must be listed again.
func (v *View) watch(ctx context.Context) {
	var changes batch
	for ctx.Err() == nil {
		wait := watchWait
		if v.awaitStore(ctx) {
			wait = 0
		}
		watching, cancel := context.WithCancel(ctx)
		v.mu.Lock()
		since := v.census.Watched()
		v.cancelWatch = cancel
		returned := since.Epoch < v.proof.Epoch()
		v.mu.Unlock()
		if returned {
			cancel()
			return
		}
		l, err := v.store.Watch(watching, "", since.Revision, wait)
		cut := watching.Err() != nil
		cancel()
		if !cut {
			v.record(err)
		}
		if pomelo.IsKind(err, pomelo.KindWatchCompacted) {
			v.log.Warn("watch_compacted", "epoch", since.Epoch, "revision", since.Revision)
			return
		}
		if err != nil {
			v.log.Warn("watch_failed", "epoch", since.Epoch, "revision", since.Revision, "error", err.Error())
			_ = v.clock.Sleep(ctx, awayPoll)
			continue
		}
		if v.observeEpoch(l.Epoch); l.Epoch != since.Epoch {
			return
		}
		v.apply(l)
		if len(l.Records) > 0 {
			_ = v.clock.Sleep(ctx, changes.next(v.clock.Monotonic()))
		}
	}
}

func (v *View) apply(l pomelo.Listing) {
	now := v.clock.Monotonic()
	for _, r := range l.Records {
		if r.Key == v.policyKey {
			v.adoptPolicy(r, "watch")
			continue
		}
		if strings.HasPrefix(r.Key, pomelo.PrefixMember) {
			// Each change is reported separately, so that a member that joined and left within one response is not missed.
			v.publish(v.applyMember(r, now), v.onChange)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.advanceWatched(l.Revision)
}

func (v *View) applyMember(r pomelo.Record, now pomelo.Millis) bool {
	c, ok := decode(r, v.log)
	v.mu.Lock()
	defer v.mu.Unlock()
	return ok && v.census.Apply(c, now)
}

// publish rebuilds the index of the members and calls the callbacks if the members have changed.
func (v *View) publish(changed bool, callbacks []func()) {
	if !changed {
		return
	}
	v.mu.Lock()
	v.index.Store(newMemberIndex(v.census.Usable()))
	v.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}

// adoptPolicy replaces the policy by one of a higher version and ignores an invalid one.
func (v *View) adoptPolicy(r pomelo.Record, source string) {
	if r.Key != v.policyKey || r.Deleted {
		return
	}
	spec, err := v.parsePolicy(r.Value)
	if err != nil {
		v.log.Warn("policy_unusable", "revision", r.Revision, "source", source, "error", err.Error())
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.policy != nil && spec.Version <= v.policy.Version() {
		return
	}
	v.policy = policy.New(spec)
	v.policyValue = r.Value
	v.log.Info("policy_adopted", "version", spec.Version, "revision", r.Revision, "source", source, "routes", len(spec.Routes), "accounts", len(spec.Accounts))
}

// parsePolicy parses a policy that may hold anything.
func (v *View) parsePolicy(value []byte) (pomelo.PolicySpec, error) {
	var spec pomelo.PolicySpec
	err := errPolicyPanic
	guard.New(v.log).Run("policy", "", func() { spec, err = v.parse(value) })
	return spec, err
}

var errPolicyPanic = errors.New("reading the policy ended unexpectedly")

func decodeAll(records []pomelo.Record, log pomelo.Logger) []census.Record {
	var out []census.Record
	for _, r := range records {
		if c, ok := decode(r, log); ok {
			out = append(out, c)
		}
	}
	return out
}

// decode returns the change of a member that the record describes; false if the record can't be read.
func decode(r pomelo.Record, log pomelo.Logger) (census.Record, bool) {
	c := census.Record{Revision: r.Revision, Deleted: r.Deleted}
	if r.Deleted {
		c.Member.VM = strings.TrimPrefix(r.Key, pomelo.PrefixMember)
		return c, true
	}
	err := json.Unmarshal(r.Value, &c.Member)
	if err != nil || pomelo.PrefixMember+c.Member.VM != r.Key {
		log.Warn("member_unreadable", "key", r.Key, "revision", r.Revision)
		return c, false
	}
	return c, true
}
