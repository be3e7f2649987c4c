package gossip

import (
	"github.com/pomeloworks/pomelo"
)

// newMessage returns this node's gossip for a node at the given position.
func (g *Gossiper) newMessage(receiver pomelo.Position) pomelo.Gossip {
	msg := pomelo.Gossip{Position: g.mirror.Position(), StoreReadAge: noStoreRead}
	now := g.clock.Now()
	if at := g.StoreReadAt(); at > 0 {
		msg.StoreReadAge = now - at
	}
	if msg.StoreReadAge == noStoreRead || msg.StoreReadAge > g.maxAge/2 {
		msg.LastSeen = g.lastSeenAges(now)
	}
	if !receiver.Before(msg.Position) {
		return msg
	}
	if b, ok := g.mirror.Since(receiver); ok {
		msg.Batch = &b
	}
	return msg
}

// applyMessage merges a neighbour's records; the batch has no gap before it, because the sender made it for a position that this node reported.
func (g *Gossiper) applyMessage(from pomelo.Member, msg pomelo.Gossip) {
	if msg.Batch != nil {
		g.mirror.Merge(*msg.Batch)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.positions[from.VM+from.Incarnation] = msg.Position
	g.dropRemoved()
}

// applyAges applies the ages in a neighbour's reply, counted back from requestedAt, the time when the request was sent.
func (g *Gossiper) applyAges(from pomelo.Member, msg pomelo.Gossip, requestedAt pomelo.Millis) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastSeen[from.VM] = max(g.lastSeen[from.VM], requestedAt)
	for _, seen := range msg.LastSeen {
		g.lastSeen[seen.VM] = max(g.lastSeen[seen.VM], requestedAt-seen.Age)
	}
	// The neighbour's freshness applies here only once this node's copy is as complete as the neighbour's was.
	if msg.StoreReadAge >= 0 && !g.mirror.Position().Before(msg.Position) {
		g.peerStoreReadAt = max(g.peerStoreReadAt, requestedAt-msg.StoreReadAge)
	}
}

// lastSeenAges returns the time since each witness was last seen.
func (g *Gossiper) lastSeenAges(now pomelo.Millis) []pomelo.LastSeen {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []pomelo.LastSeen
	for _, vm := range g.witnesses() {
		if vm == g.members.Self().VM {
			out = append(out, pomelo.LastSeen{VM: vm})
			continue
		}
		if at, ok := g.lastSeen[vm]; ok {
			out = append(out, pomelo.LastSeen{VM: vm, Age: now - at})
		}
	}
	return out
}

// seesWitnessMajority reports whether a majority of the witnesses was seen within the maximum age.
func (g *Gossiper) seesWitnessMajority(now pomelo.Millis) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := g.witnesses()
	n := 0
	for _, vm := range all {
		at, ok := g.lastSeen[vm]
		if vm == g.members.Self().VM || ok && now-at <= g.maxAge {
			n++
		}
	}
	return 2*n > len(all)
}

// witnesses returns the first VMs in the order of their hashes; nodes with the same member list agree on them.
func (g *Gossiper) witnesses() []string {
	var out []string
	for _, m := range ring(g.members) {
		if len(out) == witnessCount {
			break
		}
		out = append(out, m.VM)
	}
	return out
}

// dropRemoved deletes the state of VMs that are no longer members.
func (g *Gossiper) dropRemoved() {
	all := g.members.All()
	if len(g.positions) <= 2*len(all) {
		return
	}
	present := map[string]bool{}
	for _, m := range all {
		present[m.VM] = true
		present[m.VM+m.Incarnation] = true
	}
	for k := range g.positions {
		if !present[k] {
			delete(g.positions, k)
		}
	}
	for k := range g.lastSeen {
		if !present[k] {
			delete(g.lastSeen, k)
		}
	}
}
