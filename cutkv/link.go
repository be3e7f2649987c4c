package cutkv

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// link is one VM's connection to the store.
type link struct {
	pomelo.Store
	vm        string
	partition *Partition
}

func (l *link) Get(ctx context.Context, key string) (pomelo.Record, error) {
	if err := l.partition.check(l.vm); err != nil {
		return pomelo.Record{}, err
	}
	return l.Store.Get(ctx, key)
}

func (l *link) List(ctx context.Context, prefix string) (pomelo.Listing, error) {
	if err := l.partition.check(l.vm); err != nil {
		return pomelo.Listing{}, err
	}
	return l.Store.List(ctx, prefix)
}

func (l *link) Watch(ctx context.Context, prefix string, since pomelo.Revision, wait pomelo.Millis) (pomelo.Listing, error) {
	if err := l.partition.check(l.vm); err != nil {
		return pomelo.Listing{}, err
	}
	found, err := l.Store.Watch(ctx, prefix, since, wait)
	if cut := l.partition.check(l.vm); cut != nil {
		return pomelo.Listing{}, cut
	}
	return found, err
}

func (l *link) Put(ctx context.Context, w pomelo.Write) (pomelo.Record, error) {
	if err := l.partition.check(l.vm); err != nil {
		return pomelo.Record{}, err
	}
	return l.Store.Put(ctx, w)
}

func (l *link) Grant(ctx context.Context, ttl pomelo.Millis) (pomelo.LeaseID, error) {
	if err := l.partition.check(l.vm); err != nil {
		return 0, err
	}
	return l.Store.Grant(ctx, ttl)
}

func (l *link) Renew(ctx context.Context, id pomelo.LeaseID) error {
	if err := l.partition.check(l.vm); err != nil {
		return err
	}
	return l.Store.Renew(ctx, id)
}
