package beacon

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/pomeloworks/pomelo"
)

// Times in milliseconds.
const (
	// defaultLease less the time between renewals is how long rights outlast the store: about as long as keys are trusted.
	defaultLease   = pomelo.Millis(6_000)
	renewalsALease = 4
	retryAfter     = pomelo.Millis(200)
)

// Beacon announces one member, and announces it anew whenever it changes or its lease lapses.
type Beacon struct {
	store pomelo.Store
	clock pomelo.MonotonicClock
	log   pomelo.Logger
	lease pomelo.Millis

	mu     sync.Mutex
	member pomelo.Member
	dirty  chan struct{}

	// The rest belongs to Run.
	id       pomelo.LeaseID
	written  pomelo.Member
	revision pomelo.Revision
	known    bool
	renewed  pomelo.Millis
	granted  bool

	// until is when, by the steady time, the lease may lapse.
	until atomic.Int64
}

// New returns a beacon of the member; nothing is written before Run.
func New(store pomelo.Store, clock pomelo.MonotonicClock, log pomelo.Logger, m pomelo.Member, opts ...func(*Beacon)) *Beacon {
	b := &Beacon{store: store, clock: clock, log: log, lease: defaultLease, member: m, dirty: make(chan struct{}, 1)}
	for _, o := range opts {
		o(b)
	}
	return b
}

// WithLease sets the lease's time, in milliseconds.
func WithLease(d pomelo.Millis) func(*Beacon) {
	return func(b *Beacon) { b.lease = d }
}

// Member is the record as it should be in the store.
func (b *Beacon) Member() pomelo.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.member
}

// Describe changes the record and has it written soon.
func (b *Beacon) Describe(change func(*pomelo.Member)) {
	b.mu.Lock()
	before := b.member
	change(&b.member)
	same := before == b.member
	b.mu.Unlock()
	if same {
		return
	}
	select {
	case b.dirty <- struct{}{}:
	default:
	}
}

// Run keeps the record until the context ends; it lapses with its lease, or the VM's next process replaces it.
func (b *Beacon) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := b.step(ctx)
		if pomelo.IsKind(err, pomelo.KindConflict) && b.revision != 0 {
			// The record of the process before, which is to be replaced.
			err = b.step(ctx)
		}
		if err != nil {
			b.log.Warn("announce_failed", "lease", b.id, "error", err.Error())
		}
		b.wait(ctx, err)
	}
}

func (b *Beacon) wait(ctx context.Context, err error) {
	pause := b.lease / renewalsALease
	if err != nil {
		_ = b.clock.Sleep(ctx, retryAfter)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pause.Duration())
	defer cancel()
	select {
	case <-ctx.Done():
	case <-b.dirty:
	}
}

// step brings the lease and the record up to date.
func (b *Beacon) step(ctx context.Context) error {
	if err := b.hold(ctx); err != nil {
		return err
	}
	m := b.Member()
	if b.known && m == b.written {
		return nil
	}
	return b.write(ctx, m)
}

// hold renews the lease once a quarter of it has passed, or takes a new one.
func (b *Beacon) hold(ctx context.Context) error {
	now := b.clock.Monotonic()
	if b.id != 0 && now-b.renewed < b.lease/renewalsALease {
		return nil
	}
	if b.id != 0 {
		err := b.store.Renew(ctx, b.id)
		if err == nil {
			b.leasedFrom(now)
			return nil
		}
		if !pomelo.IsKind(err, pomelo.KindLeaseExpired) {
			return err
		}
		b.log.Warn("lease_lapsed", "lease", b.id)
	}
	b.id = 0
	b.known = false
	id, err := b.store.Grant(ctx, b.lease)
	if err != nil {
		return err
	}
	if b.granted {
		// Rights under the lapsed lease may have gone to others.
		b.Describe(func(m *pomelo.Member) { m.Resign() })
	}
	b.granted = true
	b.id = id
	b.leasedFrom(now)
	b.revision = 0
	return nil
}

// leasedFrom notes a renewal that was sent at this time.
func (b *Beacon) leasedFrom(now pomelo.Millis) {
	b.renewed = now
	b.until.Store(int64(now + b.lease))
}

// LeasedUntil is until when, by the steady time, the store keeps the record at least.
func (b *Beacon) LeasedUntil() pomelo.Millis {
	return pomelo.Millis(b.until.Load())
}

// write replaces whatever stands under this VM's name: it is of an earlier process or of an earlier lease.
func (b *Beacon) write(ctx context.Context, m pomelo.Member) error {
	value, err := json.Marshal(m)
	if err != nil {
		return err
	}
	w := pomelo.Write{Key: pomelo.PrefixMember + m.VM, Value: value, Expected: b.revision, Lease: b.id}
	r, err := b.store.Put(ctx, w)
	if err == nil {
		b.written = m
		b.known = true
		b.revision = r.Revision
		b.log.Info("announced", "revision", r.Revision, "lease", b.id, "service", m.Service, "draining", m.Draining)
		return nil
	}
	b.known = false
	if pomelo.IsKind(err, pomelo.KindLeaseExpired) {
		b.id = 0
		return err
	}
	return b.reread(ctx, w.Key, err)
}

// reread finds the revision to write over after a conflict or an answer that was lost.
func (b *Beacon) reread(ctx context.Context, key string, cause error) error {
	r, err := b.store.Get(ctx, key)
	if pomelo.IsKind(err, pomelo.KindNotFound) {
		b.revision = 0
		return cause
	}
	if err != nil {
		return err
	}
	b.revision = r.Revision
	return cause
}
