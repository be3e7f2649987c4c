package roster

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/pomeloworks/pomelo"
)

// Times of the model in milliseconds.
const (
	modelOwnershipTTL      = pomelo.Millis(1_500)
	modelSuspectAfter      = pomelo.Millis(350)
	modelTickInterval      = pomelo.Millis(100)
	modelHeartbeatInterval = pomelo.Millis(250)
	modelReadInterval      = pomelo.Millis(300)
	modelName              = "r"
)

var modelResources = []string{"right-0", "right-1", "right-2", "right-3"}

// injectedFault names a fault that the model injects into every node.
type injectedFault string

const (
	faultNone                injectedFault = ""
	faultNoWait              injectedFault = "a generation in effect without a wait after the acknowledgements"
	faultNoAcks              injectedFault = "a generation in effect without acknowledgements"
	faultConfirmedFromAnswer injectedFault = "a confirmation that counts from the answer instead of the request"
	faultRestartVotes        injectedFault = "a restarted member that votes as the old process"
	faultJumpingClock        injectedFault = "a wait measured by a clock that jumps"
)

type modelEvent struct {
	at  pomelo.Millis
	seq int
	run func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int { return len(q) }
func (q modelQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *modelQueue) Pop() any {
	o := *q
	x := o[len(o)-1]
	*q = o[:len(o)-1]
	return x
}

// modelNode is one process; its clock runs at rate and may jump ahead.
type modelNode struct {
	index    int
	member   pomelo.Member
	machine  *Machine
	rate     float64
	jump     pomelo.Millis
	tickedAt pomelo.Millis
	paused   bool
	dead     bool
	storeCut bool
	inbox    []func()
	acted    map[string]bool
	draining bool
}

type model struct {
	random         *rand.Rand
	injected       injectedFault
	now            pomelo.Millis
	seq            int
	queue          modelQueue
	nodes          []*modelNode
	partition      []int
	lossy          bool
	slow           bool
	stored         pomelo.Roster
	maxMembers     int
	maxStoreOutage pomelo.Millis
	overlap        string
	changes        int64
	ownerChecks    int
	lastOwners     map[string]string
	handovers      int
	restarts       int
}

func newModel(seed uint64, nodes, size int, maxStoreOutage pomelo.Millis, fault injectedFault) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 7)), injected: fault, maxMembers: size, maxStoreOutage: maxStoreOutage, partition: make([]int, nodes), lastOwners: map[string]string{}}
	for i := range nodes {
		m.nodes = append(m.nodes, nil)
		m.start(i, fmt.Sprint("i", i))
	}
	return m
}

func (m *model) start(i int, incarnation string) {
	n := &modelNode{index: i, rate: 0.996 + m.random.Float64()*0.008}
	n.member = pomelo.Member{VM: fmt.Sprint("v", i), Incarnation: incarnation, AvailabilityZone: fmt.Sprint(i % 3)}
	n.jump = pomelo.Millis(m.random.IntN(100_000))
	n.machine = New(modelName, n.member, m.clock(n), WithTimes(modelOwnershipTTL, modelSuspectAfter, m.maxStoreOutage), WithMaxMembers(m.maxMembers))
	m.nodes[i] = n
	m.schedule(pomelo.Millis(m.random.IntN(100)), func() { m.tick(n) })
	m.schedule(pomelo.Millis(m.random.IntN(250)), func() { m.sendHeartbeats(n) })
	m.schedule(pomelo.Millis(m.random.IntN(400)), func() { m.readStore(n) })
}

func (m *model) clock(n *modelNode) pomelo.Millis {
	return pomelo.Millis(float64(m.now)*n.rate) + n.jump
}

func (m *model) schedule(d pomelo.Millis, run func()) {
	m.seq++
	heap.Push(&m.queue, modelEvent{at: m.now + max(d, 1), seq: m.seq, run: run})
}

// runOn runs f in the node's process: never if the process is dead, and after its pause if it is paused.
func (m *model) runOn(n *modelNode, f func()) {
	if n.dead {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, f)
		return
	}
	f()
	m.checkOwners(n)
}

func (m *model) advance(d pomelo.Millis) {
	end := m.now + d
	for len(m.queue) > 0 && m.queue[0].at <= end {
		member := heap.Pop(&m.queue).(modelEvent)
		m.now = member.at
		member.run()
	}
	m.now = end
}

// delay returns a message's delay, which sometimes exceeds the ownership TTL.
func (m *model) delay() pomelo.Millis {
	switch {
	case m.slow && m.random.IntN(3) == 0:
		return pomelo.Millis(m.random.IntN(3_000))
	case m.random.IntN(30) == 0:
		return pomelo.Millis(m.random.IntN(2_500))
	}
	return pomelo.Millis(1 + m.random.IntN(20))
}

// send delivers a message, which may be lost, delayed or repeated.
func (m *model) send(from, to *modelNode, f func()) {
	if m.partition[from.index] != m.partition[to.index] || m.lossy && m.random.IntN(3) == 0 {
		return
	}
	m.schedule(m.delay(), func() { m.runOn(to, f) })
	if m.random.IntN(20) == 0 {
		m.schedule(m.delay(), func() { m.runOn(to, f) })
	}
}

func (m *model) tick(n *modelNode) {
	if n.dead {
		return
	}
	m.schedule(modelTickInterval, func() { m.tick(n) })
	if n.paused {
		return
	}
	elapsed := pomelo.Millis(float64(modelTickInterval) * n.rate)
	if m.injected == faultJumpingClock {
		elapsed = m.clock(n) - n.tickedAt
	}
	n.tickedAt = m.clock(n)
	if m.injected == faultNoAcks {
		for _, member := range n.machine.known.Previous {
			n.machine.recordFirst(m.clock(n), n.machine.acks, processIDOf(member))
		}
	}
	n.machine.Tick(m.clock(n), elapsed)
	if m.injected == faultNoWait && n.machine.sinceAcknowledged >= 0 {
		n.machine.takeEffect(m.clock(n))
	}
	m.checkOwners(n)
}

func (m *model) sendHeartbeats(n *modelNode) {
	if n.dead {
		return
	}
	m.schedule(modelHeartbeatInterval, func() { m.sendHeartbeats(n) })
	if n.paused {
		return
	}
	for _, to := range n.machine.Targets() {
		m.sendHeartbeat(n, to)
	}
}

func (m *model) sendHeartbeat(n *modelNode, to pomelo.Member) {
	requestedAt := m.clock(n)
	b := n.machine.Heartbeat(to)
	peer := m.nodes[indexOf(to)]
	m.send(n, peer, func() {
		reply := peer.machine.Answer(m.clock(peer), n.member, b)
		m.send(peer, n, func() {
			if m.injected == faultConfirmedFromAnswer {
				n.machine.HandleReply(m.clock(n), m.clock(n), to, reply)
				return
			}
			n.machine.HandleReply(requestedAt, m.clock(n), to, reply)
		})
	})
}

func indexOf(member pomelo.Member) int {
	var i int
	_, _ = fmt.Sscanf(member.VM, "v%d", &i)
	return i
}

// readStore reads the store and proposes a generation by compare-and-swap if one is due; any answer may be lost.
func (m *model) readStore(n *modelNode) {
	if n.dead {
		return
	}
	m.schedule(modelReadInterval, func() { m.readStore(n) })
	if n.paused || n.storeCut {
		return
	}
	requestedAt := m.clock(n)
	m.schedule(m.delay(), func() {
		r := m.stored
		m.schedule(m.delay(), func() {
			m.runOn(n, func() {
				n.machine.ApplyStored(requestedAt, m.clock(n), r)
				m.propose(n)
			})
		})
	})
}

func (m *model) propose(n *modelNode) {
	var all []pomelo.Member
	for _, o := range m.nodes {
		c := o.member
		c.Draining = o.draining
		all = append(all, c)
	}
	r, ok := n.machine.Propose(m.clock(n), all)
	if !ok || n.storeCut {
		return
	}
	requestedAt := m.clock(n)
	m.schedule(m.delay(), func() {
		if m.stored.Generation != r.Generation-1 {
			return
		}
		m.stored = r
		m.changes++
		if m.random.IntN(5) == 0 {
			return
		}
		m.schedule(m.delay(), func() { m.runOn(n, func() { n.machine.ApplyStored(requestedAt, m.clock(n), r) }) })
	})
}

// checkOwners runs after an action of n and records a resource that n and another live process, paused or not, own at the same time; a process becomes an owner only by an action of its own.
func (m *model) checkOwners(n *modelNode) {
	for _, resource := range modelResources {
		if n.dead || !n.machine.IsOwner(m.clock(n), resource) {
			continue
		}
		m.ownerChecks++
		m.recordOwner(resource, n.member.VM+n.member.Incarnation)
		for _, o := range m.nodes {
			if o != n && !o.dead && o.machine.IsOwner(m.clock(o), resource) && m.overlap == "" {
				m.overlap = fmt.Sprintf("%s is owned by %v and %v at %d", resource, n.member, o.member, m.now)
			}
		}
	}
}

func (m *model) recordOwner(resource, newOwner string) {
	if previous := m.lastOwners[resource]; previous != "" && previous != newOwner {
		m.handovers++
	}
	m.lastOwners[resource] = newOwner
}
