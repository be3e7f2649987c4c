package view

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/tree"
)

// Times in milliseconds.
const (
	// pollWait is the time for which a parent without a change waits before it answers; a frozen parent is noticed after pollWait and relayTimeout, so that a policy is still applied within 2,500.
	pollWait = pomelo.Millis(1_000)
	// selectTimeout is the time in which one of the parents must answer before the node watches the store itself.
	selectTimeout = pomelo.Millis(300)
	// ownWatchWait is the wait of a watch by a node that is not a reader, after which it asks its parents again.
	ownWatchWait = pomelo.Millis(2_000)
	// maxAwayWait is the time for which a node waits for its next attempt at the store before it asks its parents again.
	maxAwayWait = pomelo.Millis(500)
	// maxParentAge is the highest age of a parent's member list: a reader's is at most readInterval, that of a node below it twice that, and a request each.
	maxParentAge = pomelo.Millis(2_000)
	// avoidPeriod is the time for which a lost parent is not chosen again.
	avoidPeriod = pomelo.Millis(2_000)
	// maxFirstReaderAge is the highest age of a proof that the second reader takes over from the first instead of reading the store, so that its own proofs are at most little older than those of a node that reads.
	maxFirstReaderAge = pomelo.Millis(350)
	// secondReaderDelay is the time by which the second reader's interval exceeds readInterval, so that it asks right after the first one has read.
	secondReaderDelay = pomelo.Millis(100)
)

// hasReturned reports whether the store has returned from a copy since the members were listed.
func (v *View) hasReturned() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.census.Watched().Epoch < v.proof.Epoch()
}

// leavesStoreToOthers reports whether reading the policy has to wait until the store is back: peers report that it is away for them too, and the renewal of the lease, the cheapest call, shows when it is back.
func (v *View) leavesStoreToOthers() bool {
	if v.relay == nil || !v.outage.IsShared(v.clock.Monotonic()) {
		return false
	}
	select {
	case <-v.listed:
	default:
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.relay.isReader
}

// watchParent applies what the parent answers to one request; it reports false if this node has to watch the store itself, and for how many milliseconds.
func (v *View) watchParent(ctx context.Context) (bool, pomelo.Millis) {
	t := tree.New(v.Current(), v.self().VM)
	v.outage.SetNodes(t.Size())
	away := v.outage.IsAway()
	v.mu.Lock()
	v.relay.isReader = t.IsReader()
	v.mu.Unlock()
	if t.IsReader() && !away {
		v.setParent(pomelo.Member{}, "reader")
		return false, watchWait
	}
	p, ok := v.currentParent(t)
	if !ok {
		p, ok = v.selectParent(ctx, t.Parents(), away)
	}
	if !ok {
		v.setParent(pomelo.Member{}, "no_parent")
		return false, ownWatchWait
	}
	v.poll(ctx, p, away)
	return true, 0
}

// currentParent returns the parent if it is still one of the two of this node's place in the tree.
func (v *View) currentParent(t *tree.Tree) (pomelo.Member, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	parents := t.Parents()
	for _, m := range parents[:min(2, len(parents))] {
		if m.VM == v.relay.parent.VM && m.Fingerprint == v.relay.parent.Fingerprint {
			return m, true
		}
	}
	return pomelo.Member{}, false
}

// selectParent asks all candidates at once, and returns the first one whose member list is recent; while the store is away for this node, it returns the one with the most recent list otherwise.
func (v *View) selectParent(ctx context.Context, candidates []pomelo.Member, away bool) (pomelo.Member, bool) {
	ctx, cancel := context.WithTimeout(ctx, selectTimeout.Duration())
	defer cancel()
	candidates = v.withoutAvoided(candidates)
	q := pomelo.ChangesRequest{Position: v.watched(), StoreAway: away}
	replies := make([]*pomelo.ChangesReply, len(candidates))
	var asked sync.WaitGroup
	for i, m := range candidates {
		asked.Go(func() {
			if r, err := v.requestChanges(ctx, m, q); err == nil && isComplete(r, q.Position) {
				replies[i] = &r
			}
		})
	}
	asked.Wait()
	best := -1
	for i, r := range replies {
		if r == nil {
			continue
		}
		if isRecent(*r) {
			v.setParent(candidates[i], "recent")
			return candidates[i], true
		}
		if best < 0 || r.MembersAge < replies[best].MembersAge {
			best = i
		}
	}
	if !away || best < 0 {
		return pomelo.Member{}, false
	}
	v.setParent(candidates[best], "away")
	return candidates[best], true
}

// isComplete reports whether the reply holds all changes after the position.
func isComplete(r pomelo.ChangesReply, since pomelo.Position) bool {
	return !r.TooFarBehind && r.Batch.Position.Epoch == since.Epoch
}

// isRecent reports whether the parent's list was confirmed recently; the limit is lower if the store does not respond for it.
func isRecent(r pomelo.ChangesReply) bool {
	if r.StoreAway {
		return r.MembersAge <= maxRelayedAge
	}
	return r.MembersAge <= maxParentAge
}

// poll waits for the parent's next changes and applies them.
func (v *View) poll(ctx context.Context, p pomelo.Member, away bool) {
	polling, cancel := context.WithTimeout(ctx, (pollWait + relayTimeout).Duration())
	defer cancel()
	v.mu.Lock()
	since := v.census.Watched()
	v.cancelWatch = cancel
	v.mu.Unlock()
	r, err := v.requestChanges(polling, p, pomelo.ChangesRequest{Position: since, Wait: pollWait, StoreAway: away})
	switch {
	case ctx.Err() != nil:
	case errors.Is(polling.Err(), context.Canceled):
		if v.isLagging() {
			v.loseParent(p, "lag")
		}
	case err != nil:
		v.loseParent(p, err.Error())
	case !isComplete(r, since):
		v.loseParent(p, "too_far_behind")
	default:
		v.applyChanges(r, since)
		if !isRecent(r) {
			v.loseStaleParent(p, away)
		}
	}
}

func (v *View) applyChanges(r pomelo.ChangesReply, since pomelo.Position) {
	if !since.Before(r.Batch.Position) {
		return
	}
	v.metrics.Count("view.relayed_changes", int64(len(r.Batch.Records)))
	v.apply(pomelo.Listing{Records: r.Batch.Records, Revision: r.Batch.Position.Revision, Epoch: r.Batch.Position.Epoch})
}

// requestChanges sends the request, and records what the reply shows about the store.
func (v *View) requestChanges(ctx context.Context, m pomelo.Member, q pomelo.ChangesRequest) (pomelo.ChangesReply, error) {
	var r pomelo.ChangesReply
	if err := v.peers.Request(ctx, m, pomelo.MessageChanges, q, &r); err != nil {
		return r, err
	}
	now := v.clock.Monotonic()
	v.outage.Report(m.VM, r.StoreAway, now, rand.Float64())
	if r.StoreAway && !isRecent(r) {
		v.outage.Doubt(now, rand.Float64())
	}
	v.observeEpoch(r.Batch.Position.Epoch)
	return r, nil
}

// isLagging reports whether a confirmed read has shown changes that this node has not received.
func (v *View) isLagging() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.watchLag.revision > v.census.Watched().Revision
}

func (v *View) watched() pomelo.Position {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.census.Watched()
}

// loseParent has another parent chosen than p.
func (v *View) loseParent(p pomelo.Member, reason string) {
	v.metrics.Count("view.parent_lost", 1)
	v.log.Warn("parent_lost", "parent", p.VM, "reason", reason, "watched", v.watched().Revision)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.relay.parent = pomelo.Member{}
	v.relay.avoidUntil[p.VM] = v.clock.Monotonic() + avoidPeriod
}

// loseStaleParent has the parents asked again; while the store is away for this node as well, p may still be the best one.
func (v *View) loseStaleParent(p pomelo.Member, away bool) {
	if !away {
		v.loseParent(p, "stale")
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.relay.parent = pomelo.Member{}
}

// setParent sets the parent, and logs the choice if it differs from the last logged one.
func (v *View) setParent(p pomelo.Member, reason string) {
	v.mu.Lock()
	v.relay.parent = p
	line := p.VM + " " + reason
	changed := v.relay.logged != line
	v.relay.logged = line
	v.mu.Unlock()
	if changed {
		v.log.Info("changes_source", "parent", p.VM, "reason", reason, "watched", v.watched().Revision, "away", v.outage.IsAway())
	}
}

// withoutAvoided returns the members that were not lost as parents recently.
func (v *View) withoutAvoided(members []pomelo.Member) []pomelo.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Monotonic()
	for vm, until := range v.relay.avoidUntil {
		if now >= until {
			delete(v.relay.avoidUntil, vm)
		}
	}
	return slices.DeleteFunc(members, func(m pomelo.Member) bool { return v.relay.avoidUntil[m.VM] > now })
}

// relayedAgeLimit returns the highest age of a peer's proof that makes a read of the store unnecessary.
func (v *View) relayedAgeLimit() pomelo.Millis {
	if v.isSecondReader {
		return maxFirstReaderAge
	}
	return maxRelayedAge
}

// refreshDelay returns the delay after a confirmation until the next one.
func (v *View) refreshDelay() pomelo.Millis {
	if !v.isSecondReader {
		return readInterval
	}
	return readInterval + secondReaderDelay - min(v.Age(), maxFirstReaderAge)
}

// relayProofParents returns the peers to request a proof from: for the second reader the first, for the first none, and for the other nodes two in rotation, so that a parent that lags behind the other is noticed; a node for which the store is away asks more.
func (v *View) relayProofParents() []pomelo.Member {
	t := tree.New(v.Current(), v.self().VM)
	first, isSecond := t.FirstReader()
	away := v.outage.IsAway()
	v.isSecondReader = isSecond && !away
	if v.isSecondReader {
		return []pomelo.Member{first}
	}
	if t.IsReader() && !away {
		return nil
	}
	parents := v.withoutAvoided(v.withParent(t.Parents()))
	if len(parents) == 0 {
		return nil
	}
	v.requestCount++
	if !away {
		parents = parents[:min(2, len(parents))]
	}
	first = parents[v.requestCount%len(parents)]
	parents = slices.DeleteFunc(parents, func(m pomelo.Member) bool { return m.VM == first.VM })
	return append([]pomelo.Member{first}, parents...)
}

// withParent returns the members with the present parent before the others, unless it is one of the first two.
func (v *View) withParent(members []pomelo.Member) []pomelo.Member {
	v.mu.Lock()
	p := v.relay.parent
	v.mu.Unlock()
	i := slices.IndexFunc(members, func(m pomelo.Member) bool { return m.VM == p.VM })
	if i < 2 {
		return members
	}
	return append([]pomelo.Member{p}, slices.Delete(members, i, i+1)...)
}
