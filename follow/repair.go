package follow

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

// epochRecord is the epoch that a repair has begun; Known is the revision up to which the repairing node knew the configuration of the epoch before.
type epochRecord struct {
	Epoch int64           `json:"epoch"`
	Known pomelo.Revision `json:"known,omitempty"`
}

// repair writes accepted configuration back to a store that returned with an older state, and then increments the store's epoch.
// Every node that sees the older state may do so concurrently: compare-and-swap lets one write of each record succeed, and all nodes write the same.
func (f *Follower) repair(ctx context.Context, l pomelo.Listing) error {
	f.log.Warn("store_went_back", "revision", l.Revision, "known", f.mirror.Position().Revision)
	stored := byKey(l)
	for _, r := range f.mirror.All() {
		if !isConfig(r) || stored[r.Key].Revision >= r.Revision {
			continue
		}
		if err := f.restore(ctx, r, stored[r.Key].Revision); err != nil {
			return err
		}
	}
	if err := f.incrementEpoch(ctx, stored[pomelo.KeyEpoch].Revision); err != nil {
		return err
	}
	return errRelist
}

// complete restores the accepted configuration that the node which repaired the store did not know yet, unless it has been written since.
func (f *Follower) complete(ctx context.Context, l pomelo.Listing, e epochRecord) error {
	stored := byKey(l)
	repaired := stored[pomelo.KeyEpoch].Revision
	f.log.Warn("repair_completed", "epoch", e.Epoch, "repaired", e.Known, "known", f.mirror.Position().Revision)
	for _, r := range f.mirror.All() {
		if !isConfig(r) || r.Revision <= e.Known || stored[r.Key].Revision > repaired {
			continue
		}
		if err := f.restore(ctx, r, stored[r.Key].Revision); err != nil {
			return err
		}
	}
	e.Known = f.mirror.Position().Revision
	if err := f.putEpoch(ctx, e, repaired); err != nil {
		return err
	}
	return errRelist
}

func (f *Follower) restore(ctx context.Context, r pomelo.Record, expected pomelo.Revision) error {
	_, err := f.store.Put(ctx, pomelo.Write{Key: r.Key, Value: r.Value, Expected: expected})
	if pomelo.IsKind(err, pomelo.KindConflict) {
		return nil
	}
	return errors.Wrap(err, "restore record "+r.Key)
}

func (f *Follower) incrementEpoch(ctx context.Context, expected pomelo.Revision) error {
	p := f.mirror.Position()
	return f.putEpoch(ctx, epochRecord{Epoch: p.Epoch + 1, Known: p.Revision}, expected)
}

// putEpoch writes the epoch unless another node has.
func (f *Follower) putEpoch(ctx context.Context, e epochRecord, expected pomelo.Revision) error {
	value, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode epoch")
	}
	_, err = f.store.Put(ctx, pomelo.Write{Key: pomelo.KeyEpoch, Value: value, Expected: expected})
	if pomelo.IsKind(err, pomelo.KindConflict) {
		return nil
	}
	return errors.Wrap(err, "write the store's epoch")
}

func isConfig(r pomelo.Record) bool {
	return !r.Deleted && strings.HasPrefix(r.Key, pomelo.PrefixConfig)
}

func byKey(l pomelo.Listing) map[string]pomelo.Record {
	out := make(map[string]pomelo.Record, len(l.Records))
	for _, r := range l.Records {
		out[r.Key] = r
	}
	return out
}

func decodeEpoch(value []byte) (epochRecord, error) {
	var e epochRecord
	err := json.Unmarshal(value, &e)
	return e, errors.Wrap(err, "decode epoch")
}
