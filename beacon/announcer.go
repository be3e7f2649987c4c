package beacon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/outage"
	"github.com/pomeloworks/pomelo/tenure"
)

// Times in milliseconds.
const (
	// defaultLeaseTTL minus the renewal interval is the time, in milliseconds, for which ownership of resources continues during a store outage: about the time for which keys count as fresh.
	defaultLeaseTTL  = pomelo.Millis(6_000)
	renewalsPerLease = 4
	// retryDelay is the delay after a call that failed although the store answers.
	retryDelay = pomelo.Millis(200)
	// awayPoll is the interval of checks whether the store may be called again.
	awayPoll = pomelo.Millis(50)
)

// Announcer keeps one member's record in the store, and writes it again whenever it changes or its lease expires.
type Announcer struct {
	store    pomelo.Store
	clock    pomelo.MonotonicClock
	log      pomelo.Logger
	leaseTTL pomelo.Millis
	outage   *outage.Outage

	mu      sync.Mutex
	member  pomelo.Member
	changed chan struct{}
	// change counts the changes of the member, and recorded is the last of them that the store holds for certain; 0 means none.
	change   uint64
	recorded uint64
	// confirmed is closed and replaced when the store has confirmed the record or its lease.
	confirmed chan struct{}

	// The following fields are used only by Run.
	leaseID   pomelo.LeaseID
	written   pomelo.Member
	revision  pomelo.Revision
	isWritten bool
	renewedAt pomelo.Millis
	tenure    tenure.Tenure

	// overwritten is set once another writer has replaced the record by one that names no member.
	overwritten atomic.Bool
	// leaseExpiresAt is the earliest time, by the monotonic clock, at which the lease may expire.
	leaseExpiresAt atomic.Int64
}

// New returns an announcer of the member; it writes nothing before Run.
func New(store pomelo.Store, clock pomelo.MonotonicClock, log pomelo.Logger, m pomelo.Member, opts ...func(*Announcer)) *Announcer {
	a := &Announcer{store: store, clock: clock, log: log, leaseTTL: defaultLeaseTTL, member: m, changed: make(chan struct{}, 1), change: 1, confirmed: make(chan struct{}), outage: outage.New()}
	for _, o := range opts {
		o(a)
	}
	return a
}

// WithLeaseTTL sets the TTL of the lease, in milliseconds.
func WithLeaseTTL(d pomelo.Millis) func(*Announcer) {
	return func(a *Announcer) { a.leaseTTL = d }
}

// WithOutage shares what is known about the store being away.
func WithOutage(o *outage.Outage) func(*Announcer) {
	return func(a *Announcer) { a.outage = o }
}

// Member returns the record that the store should hold.
func (a *Announcer) Member() pomelo.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.member
}

// UpdateMember changes the record and has it written soon.
func (a *Announcer) UpdateMember(change func(*pomelo.Member)) {
	a.mu.Lock()
	previous := a.member
	change(&a.member)
	unchanged := previous == a.member
	if !unchanged {
		a.change++
	}
	a.mu.Unlock()
	if unchanged {
		return
	}
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// Run keeps the record in the store until the context ends; afterwards it expires with its lease, or the VM's next process replaces it.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !a.outage.Allow(a.clock.Monotonic()) {
			_ = a.clock.Sleep(ctx, awayPoll)
			continue
		}
		away := a.outage.IsAway()
		if away {
			// A renewal shows whether the store is back.
			a.renewedAt = -a.leaseTTL
		}
		err := a.reconcile(ctx)
		if pomelo.IsKind(err, pomelo.KindConflict) && a.revision != 0 {
			// The conflicting record was written by the VM's previous process and is to be replaced.
			err = a.reconcile(ctx)
		}
		if away || err != nil {
			a.outage.Record(err, a.clock.Monotonic(), rand.Float64())
		}
		if err != nil {
			a.log.Warn("announce_failed", "lease", a.leaseID, "error", err.Error())
		}
		a.wait(ctx, err)
	}
}

func (a *Announcer) wait(ctx context.Context, err error) {
	interval := a.leaseTTL / renewalsPerLease
	if err != nil && !pomelo.IsKind(err, pomelo.KindStoreUnavailable) {
		_ = a.clock.Sleep(ctx, retryDelay)
		return
	}
	if err != nil {
		_ = a.clock.Sleep(ctx, awayPoll)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, interval.Duration())
	defer cancel()
	select {
	case <-ctx.Done():
	case <-a.changed:
	}
}

// reconcile brings the lease and the record in the store up to date.
func (a *Announcer) reconcile(ctx context.Context) error {
	epoch := a.observeEpoch()
	if err := a.ensureLease(ctx); err != nil {
		return err
	}
	if a.overwritten.Swap(false) {
		a.confirm(0)
		// A process that has read the list meanwhile lacks this member, and may own its resources.
		a.resign("record_overwritten")
	}
	m, change := a.snapshot()
	if a.isWritten && m == a.written {
		a.confirm(change)
		return nil
	}
	if err := a.write(ctx, m); err != nil {
		return err
	}
	if a.store.Epoch() != epoch {
		a.isWritten = false
		return errEpochChanged
	}
	a.confirm(change)
	if a.tenure.Written(a.clock.Monotonic()) {
		a.resign("record_late")
	}
	return nil
}

// observeEpoch returns the store's epoch; in a new one the lease and the record may be gone or older, whatever was written before.
func (a *Announcer) observeEpoch() int64 {
	epoch := a.store.Epoch()
	if !a.tenure.BeginEpoch(epoch) {
		return epoch
	}
	a.log.Info("store_epoch", "epoch", epoch, "lease", a.leaseID)
	a.isWritten = false
	a.confirm(0)
	a.renewedAt = -a.leaseTTL
	a.UpdateMember(func(m *pomelo.Member) {
		m.SoleOwner = m.SoleOwner && m.Epoch == epoch
		m.Epoch = epoch
	})
	return epoch
}

// RecordOverwritten has the record written again soon because another writer has replaced it by one that names no member.
func (a *Announcer) RecordOverwritten() {
	a.overwritten.Store(true)
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// StoreReturned has the record written again soon because the store has a new epoch.
func (a *Announcer) StoreReturned() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// StoreChanged has the lease checked soon because the store has become away or reachable for this node: a renewal is the cheapest call that shows which.
func (a *Announcer) StoreChanged(bool) {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

func (a *Announcer) resign(reason string) {
	a.log.Warn("resigned", "reason", reason, "lease", a.leaseID)
	a.UpdateMember(func(m *pomelo.Member) { m.Resign() })
}

// ensureLease renews the lease once a quarter of its TTL has passed, or acquires a new one.
func (a *Announcer) ensureLease(ctx context.Context) error {
	now := a.clock.Monotonic()
	if a.tenure.Overdue(now) {
		a.resign("store_returned")
	}
	if a.leaseID != 0 && now-a.renewedAt < a.leaseTTL/renewalsPerLease {
		return nil
	}
	if a.leaseID != 0 {
		err := a.store.Renew(ctx, a.leaseID)
		if err == nil {
			a.observeEpoch()
			a.recordRenewal(now)
			return nil
		}
		if !pomelo.IsKind(err, pomelo.KindLeaseExpired) {
			return err
		}
		a.log.Warn("lease_lapsed", "lease", a.leaseID)
	}
	a.leaseID = 0
	a.isWritten = false
	a.confirm(0)
	id, err := a.store.Grant(ctx, a.leaseTTL)
	if err != nil {
		return err
	}
	a.observeEpoch()
	if a.tenure.Lost() {
		// Resources owned under the expired lease may have moved to other members.
		a.resign("lease_lapsed")
	}
	a.leaseID = id
	a.recordRenewal(now)
	a.revision = 0
	return nil
}

// recordRenewal records a renewal that was sent at the given time.
func (a *Announcer) recordRenewal(now pomelo.Millis) {
	a.renewedAt = now
	a.tenure.Renewed(now, a.leaseTTL)
	a.leaseExpiresAt.Store(int64(a.tenure.ExpiresAt()))
	a.wake()
}

// LeaseExpiresAt returns the time, by the monotonic clock, until which the store keeps the record at least.
func (a *Announcer) LeaseExpiresAt() pomelo.Millis {
	return pomelo.Millis(a.leaseExpiresAt.Load())
}

// errEpochChanged means that the store returned from a copy while the record was being written.
var errEpochChanged = errors.New("the store has a new epoch; the record is written again")

// write replaces any record of this VM: an existing one is from a previous process or a previous lease.
func (a *Announcer) write(ctx context.Context, m pomelo.Member) error {
	value, err := json.Marshal(m)
	if err != nil {
		return err
	}
	w := pomelo.Write{Key: pomelo.PrefixMember + m.VM, Value: value, Expected: a.revision, Lease: a.leaseID}
	r, err := a.store.Put(ctx, w)
	if err == nil {
		a.written = m
		a.isWritten = true
		a.revision = r.Revision
		a.log.Info("announced", "revision", r.Revision, "lease", a.leaseID, "service", m.Service, "draining", m.Draining)
		return nil
	}
	a.isWritten = false
	if pomelo.IsKind(err, pomelo.KindLeaseExpired) {
		a.leaseID = 0
		return err
	}
	return a.loadRevision(ctx, w.Key, err)
}

// loadRevision reads the revision to overwrite after a conflict or a lost response, and returns cause unless the read fails.
func (a *Announcer) loadRevision(ctx context.Context, key string, cause error) error {
	r, err := a.store.Get(ctx, key)
	if pomelo.IsKind(err, pomelo.KindNotFound) {
		a.revision = 0
		return cause
	}
	if err != nil {
		return err
	}
	a.revision = r.Revision
	return cause
}
