package follow

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

type epochRecord struct {
	Epoch int64 `json:"epoch"`
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

func (f *Follower) restore(ctx context.Context, r pomelo.Record, expected pomelo.Revision) error {
	_, err := f.store.Put(ctx, pomelo.Write{Key: r.Key, Value: r.Value, Expected: expected})
	if pomelo.IsKind(err, pomelo.KindConflict) {
		return nil
	}
	return errors.Wrap(err, "restore record "+r.Key)
}

func (f *Follower) incrementEpoch(ctx context.Context, expected pomelo.Revision) error {
	value, err := json.Marshal(epochRecord{Epoch: f.mirror.Position().Epoch + 1})
	if err != nil {
		return errors.Wrap(err, "encode epoch")
	}
	_, err = f.store.Put(ctx, pomelo.Write{Key: pomelo.KeyEpoch, Value: value, Expected: expected})
	if pomelo.IsKind(err, pomelo.KindConflict) {
		return nil
	}
	return errors.Wrap(err, "increment the store's epoch")
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

func decodeEpoch(value []byte) (int64, error) {
	var e epochRecord
	err := json.Unmarshal(value, &e)
	return e.Epoch, errors.Wrap(err, "decode epoch")
}
