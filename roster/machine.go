package roster

import (
	_ "embed"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/chart"
	"github.com/qmuntal/stateless"
)

// Times in milliseconds, and sizes in members.
const (
	defaultOwnershipTTL   = pomelo.Millis(2_000)
	defaultSuspectAfter   = pomelo.Millis(1_000)
	defaultMaxStoreOutage = pomelo.Millis(24 * 3_600_000)
	defaultSize           = 9
	// orphanFactor is the number of suspect intervals that a node outside the roster waits, since it sends heartbeats less often.
	orphanFactor = 64
	// marginDivisor is the divisor of a wait for the margin added to it, for clocks that run at different speeds.
	marginDivisor = 50
	minMargin     = pomelo.Millis(50)
)

// never is earlier than any clock reading.
const never = pomelo.Millis(-1 << 40)

//go:embed member.ini
var memberChartINI []byte

var memberChart = chart.MustLoad("roster/member.ini", memberChartINI)

// Machine is the state of one roster at one node; it is not safe for concurrent use.
type Machine struct {
	name           string
	self           pomelo.Member
	ownershipTTL   pomelo.Millis
	suspectAfter   pomelo.Millis
	maxStoreOutage pomelo.Millis
	maxMembers     int
	onStateChange  func(from, to string)
	chart          *stateless.StateMachine

	known       pomelo.Roster
	adoptedAt   pomelo.Millis
	effective   bool
	effectiveAt pomelo.Millis
	// sinceAcknowledged is the monotonic time elapsed since a majority of the previous members acknowledged the known generation; negative before.
	sinceAcknowledged pomelo.Millis
	// sinceAdopted is the monotonic time elapsed since this node adopted the known generation.
	sinceAdopted pomelo.Millis
	resigned     bool
	acks         map[processID]moment
	removed      map[processID]moment
	votes        map[processID]pomelo.Millis
	// storeReadAt is the start of the latest store request that returned the known generation; storeConfirmedAt is the start of the latest store request that returned the generation known at that time.
	storeReadAt      pomelo.Millis
	storeConfirmedAt pomelo.Millis
	confirmedUntil   pomelo.Millis
	// carriedUntil is the wall-clock time, in milliseconds, until which ownership was confirmed under the previous generation, or never if a generation was skipped; until then this member may act on the resources that it owns in both generations, because no generation after the known one can be in effect earlier.
	carriedUntil        pomelo.Millis
	peerGenerations     map[processID]int64
	lastSeen            map[processID]pomelo.Millis
	unresponsiveReports map[processID][]string
	pastGenerations     []pastGeneration
	// monotonic is the accumulated monotonic time, and monotonicMarks its value at each wall-clock time that OwnedSince may return.
	monotonic      pomelo.Millis
	monotonicMarks map[pomelo.Millis]pomelo.Millis
}

// moment is a point in time, by the wall clock and by the monotonic clock.
type moment struct {
	at        pomelo.Millis
	monotonic pomelo.Millis
}

// processID identifies one process: a VM's next process is another member.
type processID struct {
	vm          string
	incarnation string
}

func processIDOf(m pomelo.Member) processID {
	return processID{vm: m.VM, incarnation: m.Incarnation}
}

// New returns a Machine that knows no generation; now is the wall-clock time at which the node started.
func New(name string, self pomelo.Member, now pomelo.Millis, opts ...func(*Machine)) *Machine {
	m := &Machine{
		name:             name,
		self:             identity(self),
		ownershipTTL:     defaultOwnershipTTL,
		suspectAfter:     defaultSuspectAfter,
		maxStoreOutage:   defaultMaxStoreOutage,
		maxMembers:       defaultSize,
		removed:          map[processID]moment{},
		monotonicMarks:   map[pomelo.Millis]pomelo.Millis{},
		storeReadAt:      never,
		storeConfirmedAt: now,
	}
	for _, o := range opts {
		o(m)
	}
	m.chart = memberChart.NewMachine(m.onStateChange)
	m.adopt(now, pomelo.Roster{Name: name})
	return m
}

// WithTimes sets, in milliseconds, how long a confirmation lasts, after how long an unresponsive member is proposed for removal, and how long ownership may last without the store.
func WithTimes(ownershipTTL, suspectAfter, maxStoreOutage pomelo.Millis) func(*Machine) {
	return func(m *Machine) {
		m.ownershipTTL = ownershipTTL
		m.suspectAfter = suspectAfter
		m.maxStoreOutage = maxStoreOutage
	}
}

// WithMaxMembers sets the maximum number of members of a proposed roster.
func WithMaxMembers(n int) func(*Machine) {
	return func(m *Machine) { m.maxMembers = n }
}

// WithStateChange sets the function that is called at each change of this member's state.
func WithStateChange(f func(from, to string)) func(*Machine) {
	return func(m *Machine) { m.onStateChange = f }
}

// Roster returns the known generation; its Generation is 0 while none is known.
func (m *Machine) Roster() pomelo.Roster {
	return m.known
}

// InEffect reports whether the known generation is in effect.
func (m *Machine) InEffect() bool {
	return m.effective
}

// State returns this member's state in the chart roster/member.ini.
func (m *Machine) State() string {
	return m.chart.MustState().(string)
}

// IsMember reports whether this process is a member of the known generation.
func (m *Machine) IsMember() bool {
	return contains(m.known.Members, m.self)
}

// adopt applies a later generation; its existence shows that the previous generation was in effect.
func (m *Machine) adopt(now pomelo.Millis, r pomelo.Roster) {
	if r.Generation <= m.known.Generation && m.acks != nil {
		return
	}
	m.recordGeneration(now)
	m.carryConfirmation(r)
	m.known = r
	m.adoptedAt = now
	m.markMonotonic(now)
	m.effective = len(r.Previous) == 0
	m.effectiveAt = now
	m.sinceAcknowledged = -1
	m.sinceAdopted = -1
	m.storeReadAt = never
	m.acks = map[processID]moment{}
	m.votes = map[processID]pomelo.Millis{}
	m.peerGenerations = map[processID]int64{}
	m.lastSeen = map[processID]pomelo.Millis{}
	m.unresponsiveReports = map[processID][]string{}
	if contains(r.Previous, m.self) {
		m.recordFirst(now, m.acks, processIDOf(m.self))
	}
	m.fire(map[bool]string{true: "list", false: "drop"}[m.IsMember()])
	if m.effective {
		m.fire("take_effect")
	}
	m.updateConfirmation(now)
}

func (m *Machine) takeEffect(now pomelo.Millis) {
	if m.effective {
		return
	}
	m.effective = true
	m.effectiveAt = now
	m.markMonotonic(now)
	m.fire("take_effect")
}

// fire triggers an event of the chart, which handles every event in every state.
func (m *Machine) fire(event string) {
	if err := m.chart.Fire(event); err != nil {
		panic(err)
	}
}

func identity(m pomelo.Member) pomelo.Member {
	return pomelo.Member{
		VM:               m.VM,
		AvailabilityZone: m.AvailabilityZone,
		Incarnation:      m.Incarnation,
		Address:          m.Address,
		Fingerprint:      m.Fingerprint,
	}
}

func contains(members []pomelo.Member, m pomelo.Member) bool {
	for _, member := range members {
		if processIDOf(member) == processIDOf(m) {
			return true
		}
	}
	return false
}

func majority(n int) int {
	return n/2 + 1
}
