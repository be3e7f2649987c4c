package view

import (
	"context"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

// listAndWatch lists the members and then watches for changes, and starts over when the watch ends.
func (v *View) listAndWatch(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = v.awaitStore(ctx, neverReadAge)
		err := v.list(ctx)
		v.record(err)
		if err != nil {
			v.log.Warn("store_list_failed", "error", err.Error())
			_ = v.clock.Sleep(ctx, awayPoll)
			continue
		}
		v.watch(ctx)
	}
}

func (v *View) list(ctx context.Context) error {
	start := v.clock.Monotonic()
	l, err := v.store.List(ctx, pomelo.PrefixMember)
	if err != nil {
		return err
	}
	v.observeEpoch(l.Epoch)
	// Listed after the members, from whose revision on changes are watched.
	evacuations, err := v.listOthers(ctx)
	if err != nil {
		return err
	}
	members := v.decodeAll(l.Records)
	v.mu.Lock()
	if l.Epoch < v.proof.Epoch() {
		v.mu.Unlock()
		return errors.Newf("the list is of the store's epoch %d, and %d has been seen", l.Epoch, v.proof.Epoch())
	}
	zoneChanges := v.replaceEvacuations(evacuations)
	changed := v.census.Replace(members, l.Position(), v.clock.Monotonic())
	v.watchLag = lag{}
	v.relay.reset(l.Position())
	v.mu.Unlock()
	// Before the members are published, so that no call is sent to one in an evacuated zone.
	v.reportEvacuations(zoneChanges, sourceList)
	v.log.Info("members_listed", "count", len(l.Records), "epoch", l.Epoch, "revision", l.Revision)
	first := false
	v.listedOnce.Do(func() { first = true })
	v.publish(changed || first, nil)
	for _, f := range v.onRelist {
		f()
	}
	if first {
		close(v.listed)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.census.Prove(start)
	return nil
}

// listOthers lists the records of OnRecord and the evacuations at the same time, so that the second list does not delay the start.
func (v *View) listOthers(ctx context.Context) (pomelo.Listing, error) {
	var evacuations pomelo.Listing
	var evacuationsErr error
	var listing sync.WaitGroup
	listing.Go(func() { evacuations, evacuationsErr = v.listEvacuations(ctx) })
	err := v.listRecords(ctx)
	listing.Wait()
	return evacuations, errors.CombineErrors(err, evacuationsErr)
}

func (v *View) listRecords(ctx context.Context) error {
	for prefix, f := range v.onRecord {
		l, err := v.store.List(ctx, prefix)
		if err != nil {
			return err
		}
		for _, r := range l.Records {
			f(r)
		}
	}
	return nil
}

// watch applies changes until the member records must be listed again.
func (v *View) watch(ctx context.Context) {
	var changes batch
	for ctx.Err() == nil {
		wait, limit := watchWait, neverReadAge
		if v.relay != nil {
			if v.hasReturned() {
				return
			}
			followed, ownWait := v.watchParent(ctx)
			if followed {
				continue
			}
			wait, limit = ownWait, maxAwayWait
		}
		away, allowed := v.awaitStore(ctx, limit)
		if !allowed {
			continue
		}
		if away {
			wait = 0
		}
		if !v.watchStore(ctx, wait, &changes) {
			return
		}
	}
}

// watchStore applies the result of one watch of the store; it reports false if the member records must be listed again.
func (v *View) watchStore(ctx context.Context, wait pomelo.Millis, changes *batch) bool {
	watching, cancel := context.WithCancel(ctx)
	v.mu.Lock()
	since := v.census.Watched()
	v.cancelWatch = cancel
	returned := since.Epoch < v.proof.Epoch()
	v.mu.Unlock()
	if returned {
		cancel()
		return false
	}
	l, err := v.store.Watch(watching, "", since.Revision, wait)
	cut := watching.Err() != nil
	cancel()
	if !cut {
		v.record(err)
	}
	if pomelo.IsKind(err, pomelo.KindWatchCompacted) {
		v.log.Warn("watch_compacted", "epoch", since.Epoch, "revision", since.Revision)
		return false
	}
	if err != nil {
		v.log.Warn("watch_failed", "epoch", since.Epoch, "revision", since.Revision, "error", err.Error())
		_ = v.clock.Sleep(ctx, awayPoll)
		return true
	}
	if v.observeEpoch(l.Epoch); l.Epoch != since.Epoch {
		return false
	}
	v.apply(l)
	if len(l.Records) > 0 {
		_ = v.clock.Sleep(ctx, changes.next(v.clock.Monotonic()))
	}
	return true
}

func (v *View) apply(l pomelo.Listing) {
	now := v.clock.Monotonic()
	for _, r := range l.Records {
		if r.Key == v.policyKey {
			v.adoptPolicy(r, sourceWatch)
			continue
		}
		if strings.HasPrefix(r.Key, pomelo.PrefixMember) {
			// Each change is reported separately, so that a member that joined and left within one response is not missed.
			v.publish(v.applyMember(r, now), v.onChange)
			continue
		}
		if v.applyEvacuation(r) {
			continue
		}
		for prefix, f := range v.onRecord {
			if strings.HasPrefix(r.Key, prefix) {
				f(r)
			}
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.advanceWatched(l.Revision)
	v.relay.append(l)
}

func (v *View) applyMember(r pomelo.Record, now pomelo.Millis) bool {
	c, ok := v.decode(r)
	v.mu.Lock()
	defer v.mu.Unlock()
	return ok && v.census.Apply(c, now)
}

// comparePosition proves the members if the watch has reached the position, and otherwise cancels a watch that has become unresponsive; a position of another epoch proves nothing. The mutex must be held.
func (v *View) comparePosition(at pomelo.Position, start pomelo.Millis) {
	watched := v.census.Watched()
	if at.Epoch != watched.Epoch {
		return
	}
	if watched.Revision >= at.Revision {
		v.census.Prove(start)
		return
	}
	now := v.clock.Monotonic()
	if v.watchLag.revision > watched.Revision && now-v.watchLag.detectedAt > maxWatchLag && v.cancelWatch != nil {
		v.log.Warn("watch_silent", "watched", watched.Revision, "read", at.Revision)
		v.cancelWatch()
	}
	if v.watchLag.revision <= watched.Revision {
		v.watchLag = lag{revision: at.Revision, readStart: start, detectedAt: now}
	}
}

// advanceWatched records the watch's progress; the mutex must be held.
func (v *View) advanceWatched(revision pomelo.Revision) {
	v.census.Advance(revision)
	if v.watchLag.revision > 0 && v.census.Watched().Revision >= v.watchLag.revision {
		v.census.Prove(v.watchLag.readStart)
		v.watchLag = lag{}
	}
}
