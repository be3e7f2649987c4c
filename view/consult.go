package view

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/pomeloworks/pomelo"
)

const (
	// consultedPeers is the number of peers asked at a time for a later policy than the store's.
	consultedPeers = 3
	// consultTimeout is the time, in milliseconds, for which peers that do not know this node yet, or do not answer, are asked again.
	consultTimeout = pomelo.Millis(1_500)
	// consultInterval is the pause between two attempts, in milliseconds.
	consultInterval = pomelo.Millis(100)
)

// needsConsultation reports whether peers are still to be asked before a read of the store proves the policy: a store that can return from a copy may have an older one. The mutex must be held.
func (v *View) needsConsultation() bool {
	return v.peers != nil && v.consultedEpoch < v.proof.Epoch()
}

func (v *View) isUnconsulted() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.needsConsultation()
}

// consult asks some peers for their policy versions and takes over a later policy than this node's, once in each epoch of the store.
func (v *View) consult(ctx context.Context) {
	v.mu.Lock()
	needed := v.needsConsultation()
	epoch := v.proof.Epoch()
	v.mu.Unlock()
	if !needed {
		return
	}
	select {
	case <-v.listed:
	case <-ctx.Done():
		return
	}
	giveUpAt := v.clock.Monotonic() + consultTimeout
	for !v.consultPeers(ctx) && v.clock.Monotonic() < giveUpAt {
		if v.clock.Sleep(ctx, consultInterval) != nil {
			return
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.consultedEpoch = epoch
}

// consultPeers asks some peers at once, and reports whether one answered or there are none.
func (v *View) consultPeers(ctx context.Context) bool {
	peers := v.randomPeers(consultedPeers)
	var answered atomic.Bool
	var asked sync.WaitGroup
	for _, m := range peers {
		asked.Go(func() {
			if v.consultPeer(ctx, m) {
				answered.Store(true)
			}
		})
	}
	asked.Wait()
	return len(peers) == 0 || answered.Load()
}

// consultPeer reports whether the peer answered, if only that it has no policy yet.
func (v *View) consultPeer(ctx context.Context, m pomelo.Member) bool {
	if _, err := v.requestFreshness(ctx, m); err != nil {
		v.log.Debug("peer_not_consulted", "member", m.VM, "error", err.Error())
		return pomelo.IsKind(err, pomelo.KindNotAuthoritative)
	}
	if v.isBehind() {
		v.requestPolicy(ctx, m)
	}
	return true
}

// isBehind reports whether a peer has had a later policy than this node's.
func (v *View) isBehind() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.policy == nil || v.policy.Version() < v.proof.KnownVersion()
}

// requestPolicy takes over a peer's policy, if it is a later one.
func (v *View) requestPolicy(ctx context.Context, m pomelo.Member) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout.Duration())
	defer cancel()
	var value []byte
	if err := v.peers.Request(ctx, m, pomelo.MessagePolicy, true, &value); err != nil {
		v.log.Warn("policy_not_taken_over", "member", m.VM, "error", err.Error())
		return
	}
	v.adoptPolicy(pomelo.Record{Key: v.policyKey, Value: value}, m.VM)
}

// AnswerPolicy implements pomelo.Responder: it returns this node's policy as the store had it, or KindNotAuthoritative if there is none.
func (v *View) AnswerPolicy(context.Context, pomelo.Member, func(any) error) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.policy == nil {
		return nil, pomelo.NewFault(pomelo.KindNotAuthoritative, "this node has no policy yet", "ask another node")
	}
	return v.policyValue, nil
}

// randomPeers returns up to n other members that are not draining.
func (v *View) randomPeers(n int) []pomelo.Member {
	var out []pomelo.Member
	self := v.self()
	for _, m := range v.Current() {
		if m.VM != self.VM && !m.Draining {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}
