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
	// readEvery keeps proofs that come over one peer younger than what rights need, 2 s.
	readEvery = pomelo.Millis(700)
	// retryAfter is the pause after a failed call of the store.
	retryAfter = pomelo.Millis(250)
	// watchWait is below the longest wait that the store allows, 30 s.
	watchWait = pomelo.Millis(25_000)
	// gatherFor lets changes that come together arrive in one watch.
	gatherFor = pomelo.Millis(200)
	// lagLimit is how long a watch may lack a change that a read has shown before it is taken as silent.
	lagLimit = pomelo.Millis(400)
	// lingerFor is how long a member whose record lapsed is still tried: the store may turn a live one away for long, and calls tell a dead one soon.
	lingerFor = pomelo.Millis(30_000)
	// outage is how long without a proof is told as a loss of the store.
	outage = pomelo.Millis(2_500)
	// neverRead is the age before the first read.
	neverRead = pomelo.Millis(1) << 40
)

// View implements pomelo.Knowledge and pomelo.Membership over the store's records.
type View struct {
	store     pomelo.Store
	clock     pomelo.MonotonicClock
	log       pomelo.Logger
	policyKey string
	parse     func([]byte) (pomelo.PolicySpec, error)
	self      func() pomelo.Member

	mu       sync.Mutex
	policy   pomelo.Policy
	provenAt pomelo.Millis
	proven   bool
	members  members
	watched  pomelo.Revision
	// taken is the highest revision of a record or list that the members rest on.
	taken    pomelo.Revision
	lagging  lag
	restart  context.CancelFunc
	notify   []func()
	relisted []func()
	roll     atomic.Pointer[roll]
	peers    pomelo.Peers
	metrics  pomelo.Metrics
	// turn belongs to Run.
	turn   int
	listed chan struct{}
	once   sync.Once
}

// lag is a revision that a read has shown and the watch has not reached, and when the read began.
type lag struct {
	revision pomelo.Revision
	start    pomelo.Millis
	seen     pomelo.Millis
}

var (
	_ pomelo.PolicySource = (*View)(nil)
	_ pomelo.Membership   = (*View)(nil)
)

// New returns a view that knows nothing before Run; policyKey is the store's key of the policy, which parse decodes.
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
	v.roll.Store(newRoll(nil))
	for _, o := range opts {
		o(v)
	}
	return v
}

// WithPeers spares most members their reads of the store: they ask peers instead.
func WithPeers(p pomelo.Peers, m pomelo.Metrics) func(*View) {
	return func(v *View) {
		v.peers = p
		v.metrics = m
	}
}

// OnChange has change called after each change of the members, in its order, and relisted after each new list, before which changes may have gone unseen; it must be called before Run.
func (v *View) OnChange(change, relisted func()) {
	v.notify = append(v.notify, change)
	v.relisted = append(v.relisted, relisted)
}

// Listed is closed once the members have been read and OnChange's functions have been called for the first time.
func (v *View) Listed() <-chan struct{} {
	return v.listed
}

// Policy is the newest policy, false until one has been read.
func (v *View) Policy() (pomelo.Policy, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.policy, v.policy != nil
}

// Age is how long ago the read began that proved the policy.
func (v *View) Age() pomelo.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.proven {
		return neverRead
	}
	return v.clock.Monotonic() - v.provenAt
}

// MembersAge is how long ago the read began that proved the members.
func (v *View) MembersAge() pomelo.Millis {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.members.proven {
		return neverRead
	}
	return v.clock.Monotonic() - v.members.provenAt
}

// MembersRevision is the store's revision that the list of members has reached at least.
func (v *View) MembersRevision() pomelo.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.taken
}

// Run follows the store until the context ends.
func (v *View) Run(ctx context.Context) {
	go v.follow(ctx)
	for ctx.Err() == nil {
		pause := readEvery
		if v.relayed(ctx) {
			_ = v.clock.Sleep(ctx, pause)
			continue
		}
		if err := v.read(ctx); err != nil {
			v.log.Warn("store_read_failed", "age_ms", v.Age(), "error", err.Error())
			pause = retryAfter
		}
		_ = v.clock.Sleep(ctx, pause)
	}
}

// read proves the policy, and the members as soon as the watch has reached the revision read.
func (v *View) read(ctx context.Context) error {
	start := v.clock.Monotonic()
	l, err := v.store.List(ctx, v.policyKey)
	if err != nil {
		return err
	}
	for _, r := range l.Records {
		v.adopt(r, "read")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.prove(start)
	v.compare(l.Revision, start)
	if v.members.forget(start) {
		v.roll.Store(newRoll(v.members.usable()))
	}
	return nil
}

func (v *View) prove(start pomelo.Millis) {
	if v.proven && start < v.provenAt {
		return
	}
	if !v.proven || v.clock.Monotonic()-v.provenAt > outage {
		v.log.Info("store_regained", "revision", v.watched)
	}
	v.proven = true
	v.provenAt = start
}

// compare proves the members, or ends a watch that has fallen silent; the mutex is held.
func (v *View) compare(revision pomelo.Revision, start pomelo.Millis) {
	if v.watched >= revision {
		v.members.prove(start)
		return
	}
	now := v.clock.Monotonic()
	if v.lagging.revision > v.watched && now-v.lagging.seen > lagLimit && v.restart != nil {
		v.log.Warn("watch_silent", "watched", v.watched, "read", revision)
		v.restart()
	}
	if v.lagging.revision <= v.watched {
		v.lagging = lag{revision: revision, start: start, seen: now}
	}
}

// reached takes the watch's progress; the mutex is held.
func (v *View) reached(revision pomelo.Revision) {
	v.watched = max(v.watched, revision)
	if v.lagging.revision > 0 && v.watched >= v.lagging.revision {
		v.members.prove(v.lagging.start)
		v.lagging = lag{}
	}
}

// follow lists everything and then watches it, over and over.
func (v *View) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if err := v.list(ctx); err != nil {
			v.log.Warn("store_list_failed", "error", err.Error())
			_ = v.clock.Sleep(ctx, retryAfter)
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
	v.taken = max(v.taken, l.Revision)
	v.mu.Unlock()
	v.log.Info("members_listed", "count", len(l.Records), "revision", l.Revision)
	first := false
	v.once.Do(func() { first = true })
	v.changed(changed || first, nil)
	for _, f := range v.relisted {
		f()
	}
	if first {
		close(v.listed)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watched = l.Revision
	v.reached(l.Revision)
	v.members.prove(start)
	return nil
}

// watch returns when the records have to be listed anew.
func (v *View) watch(ctx context.Context) {
	for ctx.Err() == nil {
		watching, cancel := context.WithCancel(ctx)
		v.mu.Lock()
		since := v.watched
		v.restart = cancel
		v.mu.Unlock()
		l, err := v.store.Watch(watching, "", since, watchWait)
		cancel()
		if pomelo.IsKind(err, pomelo.KindWatchCompacted) {
			v.log.Warn("watch_compacted", "revision", since)
			return
		}
		if err != nil {
			v.log.Warn("watch_failed", "revision", since, "error", err.Error())
			_ = v.clock.Sleep(ctx, retryAfter)
			continue
		}
		v.apply(l)
		if len(l.Records) > 0 {
			_ = v.clock.Sleep(ctx, gatherFor)
		}
	}
}

func (v *View) apply(l pomelo.Listing) {
	now := v.clock.Monotonic()
	for _, r := range l.Records {
		if r.Key == v.policyKey {
			v.adopt(r, "watch")
			continue
		}
		if strings.HasPrefix(r.Key, pomelo.PrefixMember) {
			// Each change is told by itself: a member that came and went must not go unseen.
			v.changed(v.take(r, now), v.notify)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reached(l.Revision)
}

func (v *View) take(r pomelo.Record, now pomelo.Millis) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	vm := strings.TrimPrefix(r.Key, pomelo.PrefixMember)
	v.taken = max(v.taken, r.Revision)
	if r.Deleted {
		return v.members.lapse(vm, now)
	}
	m, ok := decode(r, v.log)
	return ok && v.members.set(m)
}

func (v *View) changed(yes bool, tell []func()) {
	if !yes {
		return
	}
	v.mu.Lock()
	v.roll.Store(newRoll(v.members.usable()))
	v.mu.Unlock()
	for _, f := range tell {
		f()
	}
}

// adopt takes a policy of a higher version; an unusable one is passed over.
func (v *View) adopt(r pomelo.Record, source string) {
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
