package roster

import (
	"fmt"

	"github.com/pomeloworks/pomelo"
)

// actions returns the actions of the model by name; pick returns a number from 0 to n-1.
func (m *model) actions(pick func(n int) int) map[string]func() {
	node := func() *modelNode { return m.nodes[pick(len(m.nodes))] }
	run := func() { m.advance(pomelo.Millis(50 + pick(20)*100)) }
	return map[string]func(){
		"run":        run,
		"run_on":     run,
		"run_longer": func() { m.advance(pomelo.Millis(1_000 + pick(5)*1_000)) },
		"heal":       func() { m.heal() },
		"heal_and_run": func() {
			m.heal()
			m.advance(4_000)
		},
		"partition": func() {
			for i := range m.partition {
				m.partition[i] = pick(2)
			}
		},
		"isolate":   func() { m.partition[pick(len(m.partition))] = 2 + pick(3) },
		"lossy":     func() { m.lossy = !m.lossy },
		"slow":      func() { m.slow = !m.slow },
		"cut_store": func() { node().storeCut = true },
		"cut_store_for_all": func() {
			for _, n := range m.nodes {
				n.storeCut = true
			}
		},
		// Answers sent before a partition arrive long after it.
		"isolate_after_slow": func() {
			m.slow = true
			m.advance(300)
			m.disconnect(pick(len(m.partition)))
			m.slow = false
			m.advance(4_000)
		},
		// One side of a partition can't reach the store, the other side can.
		"split_store": func() {
			for i := range m.partition {
				m.partition[i] = pick(2)
				m.nodes[i].storeCut = m.partition[i] == 0
			}
			m.advance(5_000)
		},
		"isolate_and_jump": func() {
			i := pick(len(m.partition))
			m.disconnect(i)
			m.advance(pomelo.Millis(600 + pick(8)*100))
			m.jumpAllBut(i)
			m.advance(1_000)
		},
		"pause":   func() { node().paused = true },
		"resume":  func() { m.resume(node()) },
		"jump":    func() { node().jump += pomelo.Millis(100 + pick(40)*100) },
		"restart": func() { m.restart(node(), pick(4) > 0) },
		"drain":   func() { n := node(); n.draining = !n.draining },
		"resign":  func() { m.resign(node()) },
	}
}

// disconnect disconnects a running node from its peers and the store.
func (m *model) disconnect(i int) {
	m.partition[i] = 2 + i
	m.nodes[i].storeCut = true
}

func (m *model) jumpAllBut(i int) {
	for _, n := range m.nodes {
		if n.index != i {
			n.jump += modelOwnershipTTL
		}
	}
}

func (m *model) heal() {
	for i := range m.partition {
		m.partition[i] = 0
	}
	m.lossy = false
	m.slow = false
	for _, n := range m.nodes {
		n.storeCut = false
		m.resume(n)
	}
}

func (m *model) resume(n *modelNode) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, f := range inbox {
		m.runOn(n, f)
	}
}

// restart replaces a process; if announced is true, the other nodes learn that the old process has stopped.
func (m *model) restart(n *modelNode, announced bool) {
	m.restarts++
	n.dead = true
	incarnation := fmt.Sprint("i", n.index, ".", m.restarts)
	if m.injected == faultRestartVotes {
		incarnation = n.member.Incarnation
	}
	m.start(n.index, incarnation)
	if !announced || m.injected == faultRestartVotes {
		return
	}
	for _, o := range m.nodes {
		m.schedule(m.delay(), func() { m.runOn(o, func() { o.machine.MarkRemoved(m.clock(o), n.member) }) })
	}
}

// resign is a planned stop, after which the VM gets a new process.
func (m *model) resign(n *modelNode) {
	if n.paused || n.dead {
		return
	}
	n.machine.Resign(m.clock(n))
	for _, to := range n.machine.Targets() {
		m.sendHeartbeat(n, to)
	}
	m.schedule(1_000, func() {
		if !n.dead {
			m.restart(n, false)
		}
	})
}
