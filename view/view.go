package view

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/policy"
)

// Times in milliseconds.
const (
	// readInterval is the interval between two confirmations of this node's copy, short enough that confirmations relayed by one peer are younger than the 2 s that ownership of resources requires.
	readInterval = pomelo.Millis(700)
	// retryDelay is the delay after a failed call of the store.
	retryDelay = pomelo.Millis(250)
	// watchWait is below the store's maximum wait of 30 s.
	watchWait = pomelo.Millis(25_000)
	// watchBatchDelay lets changes that occur close together arrive in one watch response.
	watchBatchDelay = pomelo.Millis(200)
	// maxWatchLag is the longest time for which a watch may lack a change that a read has shown before the watch counts as unresponsive.
	maxWatchLag = pomelo.Millis(400)
	// expiredRetention is the time for which a member stays usable after its record expired: the store may refuse a live member for a long time, and calls soon detect a dead member.
	expiredRetention = pomelo.Millis(30_000)
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

	mu                sync.Mutex
	policy            pomelo.Policy
	policyConfirmedAt pomelo.Millis
	policyConfirmed   bool
	members           members
	watchedRevision   pomelo.Revision
	// membersRevision is the highest revision of a record or list that the members are based on.
	membersRevision pomelo.Revision
	watchLag        lag
	cancelWatch     context.CancelFunc
	onChange        []func()
	onRelist        []func()
	index           atomic.Pointer[memberIndex]
	peers           pomelo.Peers
	metrics         pomelo.Metrics
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
		members:   newMembers(),
		listed:    make(chan struct{}),
	}
	v.index.Store(newMemberIndex(nil))
	for _, o := range opts {
		o(v)
	}
	return v
}

// WithPeers makes most members request the Freshness of peers instead of reading the store.
func WithPeers(p pomelo.Peers, m pomelo.Metrics) func(*View) {
	return func(v *View) {
		v.peers = p
		v.metrics = m
	}
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

// Age returns the milliseconds since the start of the last read that confirmed the policy.
func (v *View) Age() pomelo.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.policyConfirmed {
		return neverReadAge
	}
	return v.clock.Monotonic() - v.policyConfirmedAt
}

// MembersAge returns the milliseconds since the start of the last read that confirmed the members.
func (v *View) MembersAge() pomelo.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.members.confirmed {
		return neverReadAge
	}
	return v.clock.Monotonic() - v.members.confirmedAt
}

// MembersRevision returns a store revision that the list of members has reached; the list may be newer.
func (v *View) MembersRevision() pomelo.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.membersRevision
}

// Run reads and watches the store until the context ends.
func (v *View) Run(ctx context.Context) {
	go v.listAndWatch(ctx)
	for ctx.Err() == nil {
		delay := readInterval
		if v.confirmByPeer(ctx) {
			_ = v.clock.Sleep(ctx, delay)
			continue
		}
		if err := v.read(ctx); err != nil {
			v.log.Warn("store_read_failed", "age_ms", v.Age(), "error", err.Error())
			delay = retryDelay
		}
		_ = v.clock.Sleep(ctx, delay)
	}
}

// read confirms the policy, and the members as soon as the watch has reached the revision that was read.
func (v *View) read(ctx context.Context) error {
	start := v.clock.Monotonic()
	l, err := v.store.List(ctx, v.policyKey)
	if err != nil {
		return err
	}
	for _, r := range l.Records {
		v.adoptPolicy(r, "read")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmPolicy(start)
	v.compareRevision(l.Revision, start)
	if v.members.dropExpired(start) {
		v.index.Store(newMemberIndex(v.members.usable()))
	}
	return nil
}

// confirmPolicy records that a read that began at start showed the current policy; the mutex must be held.
func (v *View) confirmPolicy(start pomelo.Millis) {
	if v.policyConfirmed && start < v.policyConfirmedAt {
		return
	}
	if !v.policyConfirmed || v.clock.Monotonic()-v.policyConfirmedAt > outageThreshold {
		v.log.Info("store_regained", "revision", v.watchedRevision)
	}
	v.policyConfirmed = true
	v.policyConfirmedAt = start
}

// compareRevision confirms the members if the watch has reached the revision, and otherwise cancels a watch that has become unresponsive; the mutex must be held.
func (v *View) compareRevision(revision pomelo.Revision, start pomelo.Millis) {
	if v.watchedRevision >= revision {
		v.members.confirm(start)
		return
	}
	now := v.clock.Monotonic()
	if v.watchLag.revision > v.watchedRevision && now-v.watchLag.detectedAt > maxWatchLag && v.cancelWatch != nil {
		v.log.Warn("watch_silent", "watched", v.watchedRevision, "read", revision)
		v.cancelWatch()
	}
	if v.watchLag.revision <= v.watchedRevision {
		v.watchLag = lag{revision: revision, readStart: start, detectedAt: now}
	}
}

// advanceWatched records the watch's progress; the mutex must be held.
func (v *View) advanceWatched(revision pomelo.Revision) {
	v.watchedRevision = max(v.watchedRevision, revision)
	if v.watchLag.revision > 0 && v.watchedRevision >= v.watchLag.revision {
		v.members.confirm(v.watchLag.readStart)
		v.watchLag = lag{}
	}
}

// listAndWatch lists the members and then watches for changes, and starts over when the watch ends.
func (v *View) listAndWatch(ctx context.Context) {
	for ctx.Err() == nil {
		if err := v.list(ctx); err != nil {
			v.log.Warn("store_list_failed", "error", err.Error())
			_ = v.clock.Sleep(ctx, retryDelay)
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
	v.mu.Lock()
	changed := v.members.replace(decodeAll(l.Records, v.log), v.clock.Monotonic())
	v.membersRevision = max(v.membersRevision, l.Revision)
	v.mu.Unlock()
	v.log.Info("members_listed", "count", len(l.Records), "revision", l.Revision)
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
	v.watchedRevision = l.Revision
	v.advanceWatched(l.Revision)
	v.members.confirm(start)
	return nil
}

// watch applies changes until the member records must be listed again.
func (v *View) watch(ctx context.Context) {
	for ctx.Err() == nil {
		watching, cancel := context.WithCancel(ctx)
		v.mu.Lock()
		since := v.watchedRevision
		v.cancelWatch = cancel
		v.mu.Unlock()
		l, err := v.store.Watch(watching, "", since, watchWait)
		cancel()
		if pomelo.IsKind(err, pomelo.KindWatchCompacted) {
			v.log.Warn("watch_compacted", "revision", since)
			return
		}
		if err != nil {
			v.log.Warn("watch_failed", "revision", since, "error", err.Error())
			_ = v.clock.Sleep(ctx, retryDelay)
			continue
		}
		v.apply(l)
		if len(l.Records) > 0 {
			_ = v.clock.Sleep(ctx, watchBatchDelay)
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
	v.mu.Lock()
	defer v.mu.Unlock()
	vm := strings.TrimPrefix(r.Key, pomelo.PrefixMember)
	v.membersRevision = max(v.membersRevision, r.Revision)
	if r.Deleted {
		return v.members.expire(vm, now)
	}
	m, ok := decode(r, v.log)
	return ok && v.members.set(m)
}

// publish rebuilds the index of the members and calls the callbacks if the members have changed.
func (v *View) publish(changed bool, callbacks []func()) {
	if !changed {
		return
	}
	v.mu.Lock()
	v.index.Store(newMemberIndex(v.members.usable()))
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
	spec, err := v.parse(r.Value)
	if err != nil {
		v.log.Warn("policy_unusable", "revision", r.Revision, "error", err.Error())
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.policy != nil && spec.Version <= v.policy.Version() {
		return
	}
	v.policy = policy.New(spec)
	v.log.Info("policy_adopted", "version", spec.Version, "revision", r.Revision, "source", source, "routes", len(spec.Routes), "accounts", len(spec.Accounts))
}

func decodeAll(records []pomelo.Record, log pomelo.Logger) []pomelo.Member {
	var out []pomelo.Member
	for _, r := range records {
		if m, ok := decode(r, log); ok {
			out = append(out, m)
		}
	}
	return out
}

func decode(r pomelo.Record, log pomelo.Logger) (pomelo.Member, bool) {
	var m pomelo.Member
	err := json.Unmarshal(r.Value, &m)
	if err != nil || pomelo.PrefixMember+m.VM != r.Key {
		log.Warn("member_unreadable", "key", r.Key, "revision", r.Revision)
		return m, false
	}
	return m, true
}
