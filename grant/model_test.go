package grant

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/pool"
)

// Times of the model, in microseconds unless of type pomelo.Millis.
const (
	microsPerMilli      = 1_000
	modelViewLag        = 1_000_000
	modelMaxWait        = pomelo.Millis(300)
	modelMaxPause       = pomelo.Millis(60)
	modelRequestTimeout = pomelo.Millis(150)
	modelSlowAfter      = pomelo.Millis(20)
	modelReportInterval = pomelo.Millis(40)
)

// injectedFault names a fault that the model injects.
type injectedFault string

const (
	faultNone               injectedFault = ""
	faultNoWait             injectedFault = "a new owner that does not wait for the previous owner's grants to expire"
	faultTTLFromAnswer      injectedFault = "grants whose lifetime counts from the answer instead of the request"
	faultIgnoresOutstanding injectedFault = "a bucket that fills up regardless of outstanding grants"
	faultKeepsIssuing       injectedFault = "an owner that continues after another took over"
	faultOtherBuckets       injectedFault = "a change of the number of shards that leads to other buckets"
)

type event struct {
	at  int64
	seq int
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	o := *q
	x := o[len(o)-1]
	*q = o[:len(o)-1]
	return x
}

// driftingClock is a clock that runs at rate, offset by jump.
type driftingClock struct {
	rate float64
	jump pomelo.Millis
}

// ownerNode is a node that owns shards; a paused one has checked its ownership and not yet issued the grant.
type ownerNode struct {
	buckets *Buckets
	clock   driftingClock
	// account is the account as this node knows it.
	account pomelo.ClientAccount
	dead    bool
	paused  bool
	inbox   []func()
	// lastOwned is this node's latest ownership of each shard.
	lastOwned map[int]shardOwnership
}

// shardOwnership is the ownership of one shard; owner is the index of its owner.
type shardOwnership struct {
	owner   int
	since   pomelo.Millis
	takenAt int64
}

// entryNode is a node that admits requests, with the state of one account's pool.
type entryNode struct {
	account    pomelo.ClientAccount
	pool       *pool.Pool
	clock      driftingClock
	waiters    []*waiter
	requesting bool
	pausedOnce bool
	roundID    int
	since      pomelo.Millis
	inFlight   int
	// owners names the owner of each shard as far as the entry node knows.
	owners []string
}

type waiter struct {
	returned  bool
	arrivedAt int64
	expiresAt int64
}

// model simulates the owners and entry nodes of one account.
type model struct {
	random   *rand.Rand
	injected injectedFault
	account  pomelo.ClientAccount
	now      int64
	seq      int
	queue    queue
	owners   []*ownerNode
	shards   []shardOwnership
	entries  []*entryNode
	delay    func() int64
	lossy    bool
	admitted []int64
	refused  []int64
	messages int
	bytes    int
	// onRefused, if it is set, is called for each refused request.
	onRefused func(e *entryNode, w *waiter)
}

func newModel(seed uint64, a pomelo.ClientAccount, owners, entries int, fault injectedFault) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 3)), account: a, injected: fault}
	m.delay = func() int64 { return 300 + int64(m.random.IntN(700)) }
	for range owners {
		m.owners = append(m.owners, &ownerNode{account: a, buckets: New(m.random.Uint64()), clock: m.newClock(), lastOwned: map[int]shardOwnership{}})
	}
	for i := range pomelo.MaxShards {
		m.shards = append(m.shards, shardOwnership{owner: i % owners, since: 1, takenAt: -1 << 40})
		m.owners[i%owners].lastOwned[i] = m.shards[i]
	}
	for range entries {
		e := &entryNode{account: a, pool: m.newPool(), clock: m.newClock(), owners: m.ownerNames()}
		m.entries = append(m.entries, e)
		m.schedule(int64(m.random.IntN(100_000)), func() { m.reportUse(e) })
	}
	return m
}

func (m *model) newClock() driftingClock {
	return driftingClock{rate: 1 + (m.random.Float64()-0.5)*0.001, jump: pomelo.Millis(m.random.IntN(1 << 20))}
}

func (m *model) wallTime(c driftingClock) pomelo.Millis {
	return pomelo.Millis(float64(m.now)*c.rate/microsPerMilli) + c.jump
}

// monotonic returns the clock's monotonic time, which does not follow jumps.
func (m *model) monotonic(c driftingClock) pomelo.Millis {
	return pomelo.Millis(float64(m.now)*c.rate/microsPerMilli) + 1<<41
}

func (m *model) schedule(d int64, run func()) {
	m.seq++
	heap.Push(&m.queue, event{at: m.now + max(d, 1), seq: m.seq, run: run})
}

func (m *model) advance(d int64) {
	end := m.now + d
	for len(m.queue) > 0 && m.queue[0].at <= end {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.run()
	}
	m.now = end
}

// send delivers a request to the shards' owner and the answer back; done is called once, at the answer or at the timeout.
func (m *model) send(e *entryNode, d pomelo.OwnerGrantRequests, done func()) {
	requestedAt := m.wallTime(e.clock)
	finished := false
	end := func(f func()) func() {
		return func() {
			if finished {
				return
			}
			finished = true
			f()
			done()
		}
	}
	m.messages++
	m.bytes += encodedSize(pomelo.GrantBatch{Requests: d.Requests})
	timeout := modelRequestTimeout
	if m.injected == faultTTLFromAnswer {
		timeout *= 100
	}
	m.schedule(int64(timeout)*microsPerMilli, end(func() {
		for _, a := range d.Requests {
			e.pool.MarkFailed(m.wallTime(e.clock), a.Shard)
		}
	}))
	h := m.owners[ownerIndex(d.Owner)]
	for range m.copies() {
		m.schedule(m.delay(), func() {
			m.run(h, func() {
				r := m.issueAll(h, d.Requests)
				m.bytes += encodedSize(pomelo.GrantReply{Grants: r})
				for range m.copies() {
					m.schedule(m.delay(), end(func() { m.applyGrants(e, d, requestedAt, r) }))
				}
			})
		})
	}
}

// copies returns how many copies of a message arrive: 1, or on a lossy network 0 to 2.
func (m *model) copies() int {
	if !m.lossy {
		return 1
	}
	return []int{0, 1, 1, 1, 2}[m.random.IntN(5)]
}

func (m *model) run(h *ownerNode, f func()) {
	if h.paused {
		h.inbox = append(h.inbox, f)
		return
	}
	if !h.dead {
		f()
	}
}

// issueAll checks the ownership first; issueLate covers a pause between the check and the grant.
func (m *model) issueAll(h *ownerNode, requests []pomelo.GrantRequest) []pomelo.Grant {
	var out []pomelo.Grant
	for _, a := range requests {
		t := m.shards[a.Shard]
		if m.injected == faultKeepsIssuing {
			t = h.lastOwned[a.Shard]
		} else if m.owners[t.owner] != h {
			out = append(out, pomelo.Grant{Account: a.Account, Shard: a.Shard, Moved: true})
			continue
		}
		out = append(out, m.issue(h, t, a))
	}
	return out
}

func (m *model) issue(h *ownerNode, t shardOwnership, a pomelo.GrantRequest) pomelo.Grant {
	ownedFor := pomelo.Millis(float64(m.now-t.takenAt) / microsPerMilli)
	if m.injected == faultNoWait {
		ownedFor += 100_000
	}
	resource := m.resourceAt(h, a.Shard)
	g := h.buckets.Issue(m.monotonic(h.clock), t.since, ownedFor, resource, pomelo.ShardOf(h.account, a.Shard), a)
	if m.injected == faultIgnoresOutstanding {
		h.buckets.buckets[resource].outstanding = 0
	}
	return g
}

func (m *model) applyGrants(e *entryNode, d pomelo.OwnerGrantRequests, requestedAt pomelo.Millis, grants []pomelo.Grant) {
	now := m.wallTime(e.clock)
	if m.injected == faultTTLFromAnswer {
		requestedAt = now
	}
	for i, g := range grants {
		if g.Moved {
			e.pool.MarkFailed(now, g.Shard)
			continue
		}
		e.pool.ApplyGrant(requestedAt, now, d.Requests[i].TTL, g)
	}
}

func (m *model) ownerNames() []string {
	var out []string
	for _, t := range m.shards {
		out = append(out, fmt.Sprint("h", t.owner))
	}
	return out
}

func ownerIndex(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "h%d", &i)
	return i
}

// moveShard makes another node the owner of a shard from now on.
func (m *model) moveShard(shard, to int) {
	m.shards[shard] = shardOwnership{owner: to, since: pomelo.Millis(m.now) + 2, takenAt: m.now}
	m.owners[to].lastOwned[shard] = m.shards[shard]
	for _, e := range m.entries {
		m.schedule(int64(m.random.IntN(modelViewLag)), func() { e.owners[shard] = fmt.Sprint("h", m.shards[shard].owner) })
	}
}

// excess returns by how many requests the admitted ones exceed burst + rate*t in the worst window.
func (m *model) excess(rate, burst float64) float64 {
	level, worst, last := burst, 0.0, int64(0)
	for _, t := range m.admitted {
		level = min(burst, level+rate*float64(t-last)/1e6)
		last = t
		level--
		worst = max(worst, -level)
	}
	return worst
}

func (m *model) resource(shard int) string {
	return fmt.Sprint(shard)
}

func (m *model) newPool() *pool.Pool {
	return pool.New(m.account, m.random.IntN(1000))
}
