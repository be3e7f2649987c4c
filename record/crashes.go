package record

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/outage"
)

// retryDelay is the delay after a failed call of the store, in milliseconds.
const retryDelay = pomelo.Millis(250)

// Crashes writes and reads the records of crashes.
type Crashes struct {
	store  pomelo.Store
	clock  pomelo.Clock
	log    pomelo.Logger
	outage *outage.Outage
	add    func(pomelo.Crash)
}

// New returns the records of this store; add is called with each crash, possibly more than once.
func New(store pomelo.Store, clock pomelo.Clock, log pomelo.Logger, o *outage.Outage, add func(pomelo.Crash), opts ...func(*Crashes)) *Crashes {
	r := &Crashes{store: store, clock: clock, log: log, outage: o, add: add}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Apply adds the crash of a record; an unreadable one is logged and ignored, and a deleted one has expired.
func (r *Crashes) Apply(x pomelo.Record) {
	if x.Deleted {
		return
	}
	var c pomelo.Crash
	if err := json.Unmarshal(x.Value, &c); err != nil {
		r.log.Warn("crash_unreadable", "key", x.Key, "error", err.Error())
		return
	}
	r.add(c)
}

// Publish adds a crash of this node's upstream and writes its record; it returns once the record is written, is too old, or ctx ends.
func (r *Crashes) Publish(ctx context.Context, c pomelo.Crash) {
	r.add(c)
	value, err := json.Marshal(c)
	if err != nil {
		r.log.Warn("crash_not_written", "upstream", c.UpstreamID, "error", err.Error())
		return
	}
	w := pomelo.Write{Key: pomelo.PrefixCrash + c.VM + "/" + strconv.FormatInt(int64(c.StartedAt), 10), Value: value}
	for giveUpAt := r.clock.Now() + pomelo.CrashTTL; r.clock.Now() < giveUpAt && ctx.Err() == nil; {
		if !r.outage.IsAway() && r.write(ctx, &w) {
			return
		}
		_ = r.clock.Sleep(ctx, retryDelay)
	}
}

// write reports whether the record is in the store; a conflict means that an earlier attempt has written it.
func (r *Crashes) write(ctx context.Context, w *pomelo.Write) bool {
	var err error
	if w.Lease == 0 {
		w.Lease, err = r.store.Grant(ctx, pomelo.CrashTTL)
	}
	if err == nil {
		_, err = r.store.Put(ctx, *w)
	}
	if err == nil || pomelo.IsKind(err, pomelo.KindConflict) {
		return true
	}
	if pomelo.IsKind(err, pomelo.KindLeaseExpired) {
		w.Lease = 0
	}
	r.log.Warn("crash_not_written", "key", w.Key, "error", err.Error())
	return false
}
