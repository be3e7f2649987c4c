package stand

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// Answer is the pomelo.Responder for heartbeats.
func (k *Keeper) Answer(_ context.Context, from pomelo.Member, decode func(any) error) (any, error) {
	var b pomelo.RosterHeartbeat
	if err := decode(&b); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range k.machines {
		if m.Roster().Name == b.Name {
			return m.Answer(k.clock.Now(), from, b), nil
		}
	}
	return nil, pomelo.NewFault(pomelo.KindNotAuthoritative, "this node does not know the roster "+b.Name, "ask again once it has started; give all nodes the same number of rosters")
}

func (k *Keeper) tick(ctx context.Context, slept pomelo.Millis) {
	now := k.clock.Now()
	k.mu.Lock()
	for _, m := range k.machines {
		m.Tick(now, slept)
	}
	beat := now >= k.beatAt
	follow := now >= k.followAt
	if beat {
		k.beatAt = now + k.standing/beatsPerTerm
	}
	if follow {
		k.followAt = now + k.standing*followTerms
	}
	k.mu.Unlock()
	if beat || follow {
		k.beat(ctx, follow)
	}
	for i := range k.groups {
		k.propose(ctx, i)
	}
}

// beat lets members ask each other; a candidate asks those that were replaced, and all now and then, so that it notices when no member is left.
func (k *Keeper) beat(ctx context.Context, follow bool) {
	for i := range k.groups {
		part := k.takesPart(i)
		if !part && !k.isCandidate(i) {
			continue
		}
		for _, to := range k.targets(i) {
			if _, replaced := k.successor(to); !part && !follow && !replaced {
				continue
			}
			k.running.Go(func() { k.exchange(ctx, i, to) })
		}
	}
}

func (k *Keeper) takesPart(i int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machines[i].IsMember()
}

func (k *Keeper) targets(i int) []pomelo.Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.machines == nil {
		return nil
	}
	return k.machines[i].Targets()
}

// exchange asks again at once when the answer brought a new generation, so that a change takes no further period.
func (k *Keeper) exchange(ctx context.Context, i int, to pomelo.Member) {
	if s, ok := k.successor(to); ok {
		k.replaced(ctx, i, to, s)
		return
	}
	k.ask(ctx, i, to)
}

func (k *Keeper) ask(ctx context.Context, i int, to pomelo.Member) {
	ctx, cancel := context.WithTimeout(ctx, k.standing.Duration())
	defer cancel()
	k.mu.Lock()
	asked := k.clock.Now()
	b := k.machines[i].Beat(to)
	k.mu.Unlock()
	var e pomelo.RosterHeartbeatReply
	if err := k.peers.Request(ctx, to, pomelo.MessageHeartbeat, b, &e); err != nil {
		return
	}
	k.mu.Lock()
	before := k.machines[i].Roster().Generation
	k.machines[i].Heard(asked, k.clock.Now(), to, e)
	after := k.machines[i].Roster().Generation
	if before != after {
		k.hurry()
	}
	k.mu.Unlock()
}

// hurry makes the next tick send heartbeats.
func (k *Keeper) hurry() {
	k.beatAt = 0
	k.followAt = 0
}

// successor finds the process that now has the member's VM and address; two processes can't have one address.
func (k *Keeper) successor(e pomelo.Member) (pomelo.Member, bool) {
	for _, m := range k.members.All() {
		if m.VM == e.VM && m.Address == e.Address && m.Incarnation != e.Incarnation {
			return m, true
		}
	}
	return pomelo.Member{}, false
}

// replaced trusts no record of the successor, which may be old, but only its own answer, given after the member was listed.
func (k *Keeper) replaced(ctx context.Context, i int, e, successor pomelo.Member) {
	self := k.members.Self()
	if successor.Incarnation != self.Incarnation {
		ctx, cancel := context.WithTimeout(ctx, k.standing.Duration())
		defer cancel()
		b := pomelo.RosterHeartbeat{Name: groupName(i)}
		var echo pomelo.RosterHeartbeatReply
		err := k.peers.Request(ctx, successor, pomelo.MessageHeartbeat, b, &echo)
		if err != nil || echo.Incarnation != successor.Incarnation {
			k.ask(ctx, i, e)
			return
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.machines[i].Gone(k.clock.Now(), e)
}
