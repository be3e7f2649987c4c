package member

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/mirror"
)

const (
	retryDelay       = pomelo.Millis(200)
	defaultLeaseTTL  = pomelo.Millis(10_000)
	renewalsPerLease = 3
	// renewalSpacing limits the renewals of the complete fleet to 20 per second: leases last longer in a larger fleet.
	renewalSpacing     = pomelo.Millis(50)
	revokeTimeout      = pomelo.Millis(2_000)
	sweepsPerRetention = 4
)

// Registry implements pomelo.Membership.
type Registry struct {
	store             pomelo.Store
	clock             pomelo.Clock
	log               pomelo.Logger
	minLeaseTTL       pomelo.Millis
	changed           chan struct{}
	mu                sync.Mutex
	self              pomelo.Member
	others            map[string]remoteMember
	snapshot          atomic.Pointer[snapshot]
	lease             pomelo.LeaseID
	grantedTTL        pomelo.Millis
	publishedMember   pomelo.Member
	publishedRevision pomelo.Revision
}

// remoteMember is another node; expiredAt is the time at which its record disappeared although the node was not draining, and 0 while the record exists.
type remoteMember struct {
	member    pomelo.Member
	expiredAt pomelo.Millis
}

// New returns a registry over the mirror's member records.
func New(store pomelo.Store, m *mirror.Mirror, clock pomelo.Clock, log pomelo.Logger, opts ...func(*Registry)) *Registry {
	r := &Registry{
		store:       store,
		clock:       clock,
		log:         log,
		minLeaseTTL: defaultLeaseTTL,
		changed:     make(chan struct{}, 1),
		others:      map[string]remoteMember{},
	}
	for _, o := range opts {
		o(r)
	}
	r.rebuild()
	m.OnChange(r.apply)
	return r
}

// WithMinLeaseTTL sets the minimum TTL of the lease in milliseconds; an expired member is retained for the same time.
func WithMinLeaseTTL(ttl pomelo.Millis) func(*Registry) {
	return func(r *Registry) { r.minLeaseTTL = ttl }
}

// UpdateSelf changes this node's own record; Announce writes it to the store.
func (r *Registry) UpdateSelf(change func(*pomelo.Member)) {
	r.mu.Lock()
	change(&r.self)
	r.rebuild()
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Self returns this node's own record.
func (r *Registry) Self() pomelo.Member {
	return r.snapshot.Load().self
}

// Serving returns the members that serve the service and are not draining; the slice must not be changed.
func (r *Registry) Serving(service string) []pomelo.Member {
	return r.snapshot.Load().serving[service]
}

// All returns every known member, this node first; the slice must not be changed.
func (r *Registry) All() []pomelo.Member {
	return r.snapshot.Load().all
}

// ByFingerprint returns the member whose certificate has this fingerprint.
func (r *Registry) ByFingerprint(fingerprint string) (pomelo.Member, bool) {
	m, ok := r.snapshot.Load().fingerprints[fingerprint]
	return m, ok
}

// MarkDraining records that this incarnation of the VM accepts no new calls, before its record says so.
func (r *Registry) MarkDraining(vm, incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	other, ok := r.others[vm]
	if !ok || other.member.Incarnation != incarnation || other.member.Draining {
		return
	}
	other.member.Draining = true
	r.others[vm] = other
	r.rebuild()
}

// Run removes members whose records have been absent for longer than the minimum TTL of the lease, until the context ends.
func (r *Registry) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = r.clock.Sleep(ctx, r.minLeaseTTL/sweepsPerRetention)
		r.dropExpired()
	}
}

func (r *Registry) apply(records []pomelo.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		if strings.HasPrefix(record.Key, pomelo.PrefixMember) {
			r.applyRecord(record)
		}
	}
	r.rebuild()
}

func (r *Registry) applyRecord(record pomelo.Record) {
	vm := strings.TrimPrefix(record.Key, pomelo.PrefixMember)
	if vm == r.self.VM {
		return
	}
	if record.Deleted {
		r.expire(vm)
		return
	}
	var m pomelo.Member
	err := json.Unmarshal(record.Value, &m)
	if err == nil {
		err = m.Check()
	}
	if err != nil {
		r.log.Warn("member_record_unreadable", "key", record.Key, "error", err.Error())
		return
	}
	r.others[vm] = remoteMember{member: m}
}

// expire retains a member that was not draining: its lease may have expired in an outage of the store while the member still serves.
func (r *Registry) expire(vm string) {
	other, ok := r.others[vm]
	if !ok {
		return
	}
	if other.member.Draining {
		delete(r.others, vm)
		return
	}
	other.expiredAt = r.clock.Now()
	r.others[vm] = other
}

func (r *Registry) dropExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for vm, other := range r.others {
		if other.expiredAt > 0 && now-other.expiredAt > r.minLeaseTTL {
			delete(r.others, vm)
			r.log.Info("member_lost", "member", vm, "service", other.member.Service)
		}
	}
	r.rebuild()
}
