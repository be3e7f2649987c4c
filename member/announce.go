package member

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

// Announce keeps this node's record in the store under a lease until the context ends, and then revokes the lease.
func (r *Registry) Announce(ctx context.Context) {
	for ctx.Err() == nil {
		delay := r.targetLeaseTTL() / renewalsPerLease
		if err := r.renewAndPublish(ctx); err != nil && ctx.Err() == nil {
			r.log.Debug("announcement_failed", "error", err.Error())
			delay = retryDelay
		}
		r.wait(ctx, delay)
	}
	r.revokeLease()
}

// targetLeaseTTL grows with the fleet, so that the fleet's rate of renewals at the store stays bounded.
func (r *Registry) targetLeaseTTL() pomelo.Millis {
	n := pomelo.Millis(len(r.All()))
	return max(r.minLeaseTTL, n*renewalSpacing*renewalsPerLease)
}

func (r *Registry) wait(ctx context.Context, d pomelo.Millis) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-r.changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	_ = r.clock.Sleep(ctx, d)
}

func (r *Registry) renewAndPublish(ctx context.Context) error {
	if err := r.renew(ctx); err != nil {
		return err
	}
	return r.publish(ctx)
}

// renew renews the lease, or acquires a new one if there is none, it has expired or the target TTL has more than doubled; a new lease requires writing the record again.
func (r *Registry) renew(ctx context.Context) error {
	ttl := r.targetLeaseTTL()
	if r.lease != 0 && ttl <= 2*r.grantedTTL {
		err := r.store.Renew(ctx, r.lease)
		if !pomelo.IsKind(err, pomelo.KindLeaseExpired) {
			return err
		}
		r.log.Warn("lease_lapsed", "lease", r.lease)
	}
	id, err := r.store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	r.lease = id
	r.grantedTTL = ttl
	r.recordPublished(pomelo.Member{}, 0)
	return nil
}

func (r *Registry) publish(ctx context.Context) error {
	m := r.Self()
	if r.isPublished(m) {
		return nil
	}
	value, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode member record")
	}
	key := pomelo.PrefixMember + m.VM
	expected, err := r.currentRevision(ctx, key)
	if err != nil {
		return err
	}
	written, err := r.store.Put(ctx, pomelo.Write{Key: key, Value: value, Expected: expected, Lease: r.lease})
	if err != nil {
		return err
	}
	r.recordPublished(m, written.Revision)
	return nil
}

func (r *Registry) currentRevision(ctx context.Context, key string) (pomelo.Revision, error) {
	e, err := r.store.Get(ctx, key)
	if pomelo.IsKind(err, pomelo.KindNotFound) {
		return 0, nil
	}
	return e.Revision, err
}

func (r *Registry) isPublished(m pomelo.Member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.publishedRevision != 0 && r.publishedMember == m
}

func (r *Registry) recordPublished(m pomelo.Member, revision pomelo.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publishedMember = m
	r.publishedRevision = revision
}

func (r *Registry) revokeLease() {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout.Duration())
	defer cancel()
	if err := r.store.Revoke(ctx, r.lease); err != nil {
		r.log.Debug("lease_not_revoked", "error", err.Error())
	}
}
