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
	defaultWait = pomelo.Millis(1_250)
	firstPause  = pomelo.Millis(100)
	// longestPause keeps a whole fleet from pressing a store that is down.
	longestPause = pomelo.Millis(5_000)
	idlePoll     = pomelo.Millis(250)
)

// Follower reads the store into a mirror.
type Follower struct {
	store   pomelo.Store
	mirror  *mirror.Mirror
	clock   pomelo.Clock
	log     pomelo.Logger
	wait    pomelo.Millis
	reading func() bool
	mu      sync.Mutex
	contact pomelo.Millis
}

// New returns a follower; Run makes it read.
func New(store pomelo.Store, m *mirror.Mirror, clock pomelo.Clock, log pomelo.Logger, opts ...func(*Follower)) *Follower {
	f := &Follower{
		store:   store,
		mirror:  m,
		clock:   clock,
		log:     log,
		wait:    defaultWait,
		reading: func() bool { return true },
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// WithWait sets how long one watch waits, in milliseconds.
func WithWait(d pomelo.Millis) func(*Follower) {
	return func(f *Follower) { f.wait = d }
}

// ReadWhen makes the follower read the store only while reading reports true; else it relies on what others merge into the mirror.
func (f *Follower) ReadWhen(reading func() bool) {
	f.reading = reading
}

// Contact is when the last answered read of the store was sent, in milliseconds since the Unix epoch; 0 means never.
func (f *Follower) Contact() pomelo.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact
}

// Run follows the store until the context ends; through an outage the mirror stays as it is.
func (f *Follower) Run(ctx context.Context) {
	pause := firstPause
	listed := false
	for ctx.Err() == nil {
		if f.mirror.Position().Revision > 0 && !f.reading() {
			_ = f.clock.Sleep(ctx, idlePoll)
			continue
		}
		err := f.read(ctx, &listed)
		if err == nil {
			pause = firstPause
			continue
		}
		f.log.Debug("store_read_failed", "error", err.Error())
		listed = false
		_ = f.clock.Sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, longestPause)
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
	if pomelo.IsKind(err, pomelo.KindWatchCompacted) {
		*listed = false
		return nil
	}
	return err
}

func (f *Follower) watch(ctx context.Context) error {
	at := f.mirror.Position()
	asked := f.clock.Now()
	l, err := f.store.Watch(ctx, pomelo.PrefixAll, at.Revision, f.wait)
	if err != nil {
		return err
	}
	f.touched(asked)
	f.mirror.Merge(pomelo.RecordBatch{Records: l.Records, Position: pomelo.Position{Epoch: at.Epoch, Revision: l.Revision}})
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	asked := f.clock.Now()
	l, err := f.store.List(ctx, pomelo.PrefixAll)
	if err != nil {
		return err
	}
	epoch, err := epochOf(l)
	if err != nil {
		return err
	}
	if epoch <= f.mirror.Position().Epoch && f.wentBack(l) {
		return f.repair(ctx, l)
	}
	f.touched(asked)
	f.mirror.Merge(pomelo.RecordBatch{Records: l.Records, Position: pomelo.Position{Epoch: epoch, Revision: l.Revision}, Full: true})
	return nil
}

// wentBack reports whether the store lacks what was read from it before; configuration is never deleted, only marked as removed.
func (f *Follower) wentBack(l pomelo.Listing) bool {
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

func (f *Follower) touched(asked pomelo.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contact = max(f.contact, asked)
}

func epochOf(l pomelo.Listing) (int64, error) {
	for _, r := range l.Records {
		if r.Key == pomelo.KeyEpoch {
			return decodeEpoch(r.Value)
		}
	}
	return 0, nil
}

var errAgain = errors.New("the store came back with an older state; it is listed again after the repair")
