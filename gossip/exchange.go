package gossip

import (
	"github.com/pomeloworks/pomelo"
)

// tell makes this node's gossip for a node at the given position.
func (s *Gossiper) tell(theirs pomelo.Position) pomelo.Gossip {
	n := pomelo.Gossip{Position: s.mirror.Position(), StoreReadAge: never}
	now := s.clock.Now()
	if at := s.Contact(); at > 0 {
		n.StoreReadAge = now - at
	}
	if n.StoreReadAge == never || n.StoreReadAge > s.maxAge/2 {
		n.LastSeen = s.heardAges(now)
	}
	if !theirs.Before(n.Position) {
		return n
	}
	if b, ok := s.mirror.Since(theirs); ok {
		n.Batch = &b
	}
	return n
}

// merge takes a neighbour's records in; the sender made the batch from a position that it heard from us, so there is no gap before it.
func (s *Gossiper) merge(from pomelo.Member, n pomelo.Gossip) {
	if n.Batch != nil {
		s.mirror.Merge(*n.Batch)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known[from.VM+from.Incarnation] = n.Position
	s.forget()
}

// credit takes a neighbour's ages in, counted back from when it was asked.
func (s *Gossiper) credit(from pomelo.Member, n pomelo.Gossip, asked pomelo.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[from.VM] = max(s.heard[from.VM], asked)
	for _, h := range n.LastSeen {
		s.heard[h.VM] = max(s.heard[h.VM], asked-h.Age)
	}
	// Their freshness is ours only once we are as complete as they were.
	if n.StoreReadAge >= 0 && !s.mirror.Position().Before(n.Position) {
		s.learned = max(s.learned, asked-n.StoreReadAge)
	}
}

func (s *Gossiper) heardAges(now pomelo.Millis) []pomelo.LastSeen {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []pomelo.LastSeen
	for _, vm := range s.witnesses() {
		if vm == s.members.Self().VM {
			out = append(out, pomelo.LastSeen{VM: vm})
			continue
		}
		if at, ok := s.heard[vm]; ok {
			out = append(out, pomelo.LastSeen{VM: vm, Age: now - at})
		}
	}
	return out
}

func (s *Gossiper) hearsMajority(now pomelo.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.witnesses()
	n := 0
	for _, vm := range all {
		at, ok := s.heard[vm]
		if vm == s.members.Self().VM || ok && now-at <= s.maxAge {
			n++
		}
	}
	return 2*n > len(all)
}

// witnesses are the first VMs in the order of their hashes; nodes that know the same members agree on them.
func (s *Gossiper) witnesses() []string {
	var out []string
	for _, m := range ring(s.members) {
		if len(out) == witnesses {
			break
		}
		out = append(out, m.VM)
	}
	return out
}

// forget drops what is kept on VMs that are gone.
func (s *Gossiper) forget() {
	all := s.members.All()
	if len(s.known) <= 2*len(all) {
		return
	}
	present := map[string]bool{}
	for _, m := range all {
		present[m.VM] = true
		present[m.VM+m.Incarnation] = true
	}
	for k := range s.known {
		if !present[k] {
			delete(s.known, k)
		}
	}
	for k := range s.heard {
		if !present[k] {
			delete(s.heard, k)
		}
	}
}
