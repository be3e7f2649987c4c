package quorum

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// Answer is the pomelo.Responder for heartbeats.
func (c *Coordinator) Answer(_ context.Context, from pomelo.Member, decode func(any) error) (any, error) {
	var b pomelo.RosterHeartbeat
	if err := decode(&b); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.Roster().Name == b.Name {
			return m.Answer(c.clock.Now(), from, b), nil
		}
	}
	return nil, pomelo.NewFault(pomelo.KindNotAuthoritative, "this node does not know the roster "+b.Name, "ask again once it has started; give all nodes the same number of rosters")
}

func (c *Coordinator) tick(ctx context.Context, elapsed pomelo.Millis) {
	now := c.clock.Now()
	c.mu.Lock()
	for _, m := range c.machines {
		m.Tick(now, elapsed)
	}
	heartbeatDue := now >= c.heartbeatAt
	candidateDue := now >= c.candidateHeartbeatAt
	if heartbeatDue {
		c.heartbeatAt = now + c.ownershipTTL/heartbeatsPerTTL
	}
	if candidateDue {
		c.candidateHeartbeatAt = now + c.ownershipTTL*candidateTTLs
	}
	c.mu.Unlock()
	if heartbeatDue || candidateDue {
		c.sendHeartbeats(ctx, candidateDue)
	}
	for i := range c.rosterCount {
		c.propose(ctx, i)
	}
}

// sendHeartbeats sends heartbeats: a member to all other members; a candidate to replaced members, and every candidateTTLs ownership TTLs to all, so that it detects that no member is left.
func (c *Coordinator) sendHeartbeats(ctx context.Context, candidateDue bool) {
	for i := range c.rosterCount {
		member := c.isMember(i)
		if !member && !c.isCandidate(i) {
			continue
		}
		for _, to := range c.targets(i) {
			if _, replaced := c.successor(to); !member && !candidateDue && !replaced {
				continue
			}
			c.running.Go(func() { c.checkMember(ctx, i, to) })
		}
	}
}

func (c *Coordinator) isMember(i int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[i].IsMember()
}

func (c *Coordinator) targets(i int) []pomelo.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machines == nil {
		return nil
	}
	return c.machines[i].Targets()
}

// checkMember sends a heartbeat to a member, or checks its successor if it has been replaced.
func (c *Coordinator) checkMember(ctx context.Context, i int, to pomelo.Member) {
	if s, ok := c.successor(to); ok {
		c.checkReplaced(ctx, i, to, s)
		return
	}
	c.sendHeartbeat(ctx, i, to)
}

func (c *Coordinator) sendHeartbeat(ctx context.Context, i int, to pomelo.Member) {
	ctx, cancel := context.WithTimeout(ctx, c.ownershipTTL.Duration())
	defer cancel()
	c.mu.Lock()
	requestedAt := c.clock.Now()
	b := c.machines[i].Heartbeat(to)
	c.mu.Unlock()
	var reply pomelo.RosterHeartbeatReply
	if err := c.peers.Request(ctx, to, pomelo.MessageHeartbeat, b, &reply); err != nil {
		return
	}
	c.mu.Lock()
	previous := c.machines[i].Roster().Generation
	c.machines[i].HandleReply(requestedAt, c.clock.Now(), to, reply)
	current := c.machines[i].Roster().Generation
	if previous != current {
		c.expediteHeartbeats()
	}
	c.mu.Unlock()
}

// expediteHeartbeats makes the next tick send heartbeats, so that a change of generation takes no further interval.
func (c *Coordinator) expediteHeartbeats() {
	c.heartbeatAt = 0
	c.candidateHeartbeatAt = 0
}

// successor returns the process that now has the member's VM and address; two processes can't share an address.
func (c *Coordinator) successor(member pomelo.Member) (pomelo.Member, bool) {
	for _, m := range c.members.All() {
		if m.VM == member.VM && m.Address == member.Address && m.Incarnation != member.Incarnation {
			return m, true
		}
	}
	return pomelo.Member{}, false
}

// checkReplaced marks a member as removed if its successor answers: the successor's record may be outdated, so only its own answer counts.
func (c *Coordinator) checkReplaced(ctx context.Context, i int, member, successor pomelo.Member) {
	self := c.members.Self()
	if successor.Incarnation != self.Incarnation {
		ctx, cancel := context.WithTimeout(ctx, c.ownershipTTL.Duration())
		defer cancel()
		b := pomelo.RosterHeartbeat{Name: rosterName(i)}
		var echo pomelo.RosterHeartbeatReply
		err := c.peers.Request(ctx, successor, pomelo.MessageHeartbeat, b, &echo)
		if err != nil || echo.Incarnation != successor.Incarnation {
			c.sendHeartbeat(ctx, i, member)
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[i].MarkRemoved(c.clock.Now(), member)
}
