package wiring

import (
	"net"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/bound"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/evict"
	"github.com/pomeloworks/pomelo/room"
)

const bytesPerMebibyte = 1 << 20

func newBudget(l room.Limits) *budget.Budget {
	return budget.New(l.ClientMemory(), budget.WithBodyLimit(l.BodyBytes()))
}

func newRoom(n *Node) room.Limits {
	return room.Limits{MemoryBytes: n.settings.Limits.MemoryMB * bytesPerMebibyte, Descriptors: n.settings.Limits.Descriptors}
}

// binder bounds the connections of a node's listeners.
type binder struct {
	node    *Node
	clock   pomelo.Clock
	log     pomelo.Logger
	metrics pomelo.Metrics
	budget  *budget.Budget
}

func newBinder(n *Node, c pomelo.Clock, b *budget.Budget, m pomelo.Metrics, log pomelo.Logger) *binder {
	return &binder{node: n, clock: c, log: log, metrics: m, budget: b}
}

// bind returns the function that bounds the listener of this name to a number of connections, and has those that have stalled give back memory.
func (b *binder) bind(name string, conns int) func(net.Listener) net.Listener {
	table := evict.New(b.clock, b.log, b.metrics, name, conns)
	b.budget.OnShortage(table.Reclaim)
	return func(l net.Listener) net.Listener {
		return bound.New(l, b.clock, table, bound.WithBudget(b.budget), bound.WithStallTimeout(b.node.settings.Limits.StallTimeout))
	}
}
