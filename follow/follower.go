package follow

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/mirror"
)

// Times in milliseconds.
const (
	defaultWatchWait = pomelo.Millis(1_250)
	minRetryDelay    = pomelo.Millis(100)
	// maxRetryDelay keeps a large fleet from overloading a store that is down.
	maxRetryDelay    = pomelo.Millis(5_000)
	idlePollInterval = pomelo.Millis(250)
)

// Follower reads the store into a mirror.
type Follower struct {
	store      pomelo.Store
	mirror     *mirror.Mirror
	clock      pomelo.Clock
	log        pomelo.Logger
	watchWait  pomelo.Millis
	shouldRead func() bool
	// storeEpoch is the epoch that the store reported with the last list; only Run uses it.
	storeEpoch  int64
	mu          sync.Mutex
	storeReadAt pomelo.Millis
}

// New returns a follower that reads nothing before Run.
func New(store pomelo.Store, m *mirror.Mirror, clock pomelo.Clock, log pomelo.Logger, opts ...func(*Follower)) *Follower {
	f := &Follower{
		store:      store,
		mirror:     m,
		clock:      clock,
		log:        log,
		watchWait:  defaultWatchWait,
		shouldRead: func() bool { return true },
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// WithWatchWait sets the maximum wait of one watch, in milliseconds.
func WithWatchWait(d pomelo.Millis) func(*Follower) {
	return func(f *Follower) { f.watchWait = d }
}

// SetReadCondition makes the follower read the store only while shouldRead returns true; otherwise the mirror depends on batches merged by others.
func (f *Follower) SetReadCondition(shouldRead func() bool) {
	f.shouldRead = shouldRead
}

// StoreReadAt returns when the last answered read of the store was sent, in milliseconds since the Unix epoch; 0 means never.
func (f *Follower) StoreReadAt() pomelo.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeReadAt
}

// Run reads and watches the store until the context ends; during an outage the mirror stays unchanged.
func (f *Follower) Run(ctx context.Context) {
	delay := minRetryDelay
	listed := false
	for ctx.Err() == nil {
		if f.mirror.Position().Revision > 0 && !f.shouldRead() {
			_ = f.clock.Sleep(ctx, idlePollInterval)
			continue
		}
		err := f.read(ctx, &listed)
		if err == nil {
			delay = minRetryDelay
			continue
		}
		f.log.Debug("store_read_failed", "error", err.Error())
		listed = false
		_ = f.clock.Sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

func (f *Follower) read(ctx context.Context, listed *bool) error {
	if !*listed {
		if err := f.list(ctx); err != nil {
			return err
		}
		*listed = true
		return nil
	}
	err := f.watch(ctx)
	if pomelo.IsKind(err, pomelo.KindWatchCompacted) || errors.Is(err, errNewEpoch) {
		*listed = false
		return nil
	}
	return err
}

func (f *Follower) watch(ctx context.Context) error {
	at := f.mirror.Position()
	requestedAt := f.clock.Now()
	l, err := f.store.Watch(ctx, pomelo.PrefixAll, at.Revision, f.watchWait)
	if err != nil {
		return err
	}
	epoch, err := epochOf(l)
	if err != nil {
		return err
	}
	if epoch.Epoch > at.Epoch || l.Epoch != f.storeEpoch {
		return errNewEpoch
	}
	f.recordStoreRead(requestedAt)
	f.mirror.Merge(pomelo.RecordBatch{Records: l.Records, Position: pomelo.Position{Epoch: at.Epoch, Revision: l.Revision}})
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	requestedAt := f.clock.Now()
	l, err := f.store.List(ctx, pomelo.PrefixAll)
	if err != nil {
		return err
	}
	epoch, err := epochOf(l)
	if err != nil {
		return err
	}
	at := f.mirror.Position()
	if epoch.Epoch <= at.Epoch && f.isRolledBack(l) {
		return f.repair(ctx, l)
	}
	if epoch.Epoch == at.Epoch+1 && epoch.Known < at.Revision {
		return f.complete(ctx, l, epoch)
	}
	f.storeEpoch = l.Epoch
	f.recordStoreRead(requestedAt)
	f.mirror.Merge(pomelo.RecordBatch{Records: l.Records, Position: pomelo.Position{Epoch: epoch.Epoch, Revision: l.Revision}, Full: true})
	return nil
}

// isRolledBack reports whether the store lacks records that were read from it earlier; configuration is never deleted, only marked as removed.
func (f *Follower) isRolledBack(l pomelo.Listing) bool {
	if l.Revision < f.mirror.Position().Revision {
		return true
	}
	stored := byKey(l)
	for _, r := range f.mirror.All() {
		if isConfig(r) && stored[r.Key].Revision < r.Revision {
			return true
		}
	}
	return false
}

func (f *Follower) recordStoreRead(requestedAt pomelo.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeReadAt = max(f.storeReadAt, requestedAt)
}

func epochOf(l pomelo.Listing) (epochRecord, error) {
	for _, r := range l.Records {
		if r.Key == pomelo.KeyEpoch {
			return decodeEpoch(r.Value)
		}
	}
	return epochRecord{}, nil
}

// errNewEpoch means that the store has returned with an older state, or that another node has repaired it, since the last watch: revisions of the two epochs can't be compared, so the store is listed again.
var errNewEpoch = errors.New("the store has a new epoch")

var errRelist = errors.New("the store returned with an older state; it is listed again after the repair")
