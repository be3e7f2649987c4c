package member

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

// Announce keeps this node's record in the store under a lease until the context ends, and then revokes it.
func (r *Registry) Announce(ctx context.Context) {
	for ctx.Err() == nil {
		pause := r.timeToLive() / renewalsPerLease
		if err := r.keep(ctx); err != nil && ctx.Err() == nil {
			r.log.Debug("announcement_failed", "error", err.Error())
			pause = retryPause
		}
		r.wait(ctx, pause)
	}
	r.withdraw()
}

// timeToLive grows with the fleet, so that the store's writes do not.
func (r *Registry) timeToLive() pomelo.Millis {
	n := pomelo.Millis(len(r.All()))
	return max(r.leaseTTL, n*renewalSpacing*renewalsPerLease)
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

func (r *Registry) keep(ctx context.Context) error {
	if err := r.renew(ctx); err != nil {
		return err
	}
	return r.publish(ctx)
}

// renew takes a new lease when there is none or the old one has lapsed; the record is then written anew.
func (r *Registry) renew(ctx context.Context) error {
	ttl := r.timeToLive()
	if r.lease != 0 && ttl <= 2*r.granted {
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
	r.granted = ttl
	r.published(pomelo.Member{}, 0)
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
	expected, err := r.current(ctx, key)
	if err != nil {
		return err
	}
	written, err := r.store.Put(ctx, pomelo.Write{Key: key, Value: value, Expected: expected, Lease: r.lease})
	if err != nil {
		return err
	}
	r.published(m, written.Revision)
	return nil
}

func (r *Registry) current(ctx context.Context, key string) (pomelo.Revision, error) {
	e, err := r.store.Get(ctx, key)
	if pomelo.IsKind(err, pomelo.KindNotFound) {
		return 0, nil
	}
	return e.Revision, err
}

func (r *Registry) isPublished(m pomelo.Member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.written != 0 && r.last == m
}

func (r *Registry) published(m pomelo.Member, revision pomelo.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = m
	r.written = revision
}

func (r *Registry) withdraw() {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout.Duration())
	defer cancel()
	if err := r.store.Revoke(ctx, r.lease); err != nil {
		r.log.Debug("lease_not_revoked", "error", err.Error())
	}
}
