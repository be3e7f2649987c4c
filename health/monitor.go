package health

import (
	"context"
	"sync"

	"github.com/pomeloworks/pomelo"
)

const (
	interval = pomelo.Millis(1_000)
	// windowIntervals is the number of intervals evaluated together, and recoveryIntervals the number of healthy ones after which issues are cleared.
	windowIntervals   = 5
	recoveryIntervals = 3
	// healthyWeight and unhealthyWeight are the weights of one interval in the baseline of the self time; unhealthyWeight is above 0 so that a lasting change becomes the baseline.
	healthyWeight   = 0.02
	unhealthyWeight = 0.0005
)

// Monitor is a pomelo.ConcurrencyLimiter that passes every call to the limiter it monitors.
type Monitor struct {
	pomelo.ConcurrencyLimiter
	clock     pomelo.Clock
	mu        sync.Mutex
	service   string
	withdrawn bool
	slots     int
	waiting   int
	running   int
	current   sample
	window    []sample
	baseline  float64
	healthy   int
	health    pomelo.Health
}

// New returns a monitor of the limiter; Run evaluates its health.
func New(limiter pomelo.ConcurrencyLimiter, clock pomelo.Clock) *Monitor {
	return &Monitor{ConcurrencyLimiter: limiter, clock: clock}
}

// Acquire passes the call to the limiter and counts whether it was admitted.
func (m *Monitor) Acquire(ctx context.Context, c pomelo.Call) (pomelo.Permit, error) {
	m.update(func() { m.waiting++; m.current.arrived++ })
	p, err := m.ConcurrencyLimiter.Acquire(ctx, c)
	if err != nil {
		m.update(func() { m.waiting--; m.current.refused++ })
		return p, err
	}
	m.update(func() { m.waiting--; m.running++ })
	return &permit{Permit: p, monitor: m}, nil
}

// SetUpstream records the announced upstream; a zero value is its withdrawal.
func (m *Monitor) SetUpstream(u pomelo.Upstream) {
	m.update(func() {
		if u.Service != "" {
			m.service = u.Service
		}
		m.withdrawn = u.Service == ""
		m.slots = u.Slots
	})
}

// Run evaluates the upstream's health every second until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	for m.clock.Sleep(ctx, interval) == nil {
		m.Tick()
	}
}

// Tick ends an interval and evaluates the window.
func (m *Monitor) Tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.current.waiting = m.waiting
	m.window = append(m.window, m.current)
	if len(m.window) > windowIntervals {
		m.window = m.window[1:]
	}
	m.current = sample{}
	s := sum(m.window)
	issues := m.detectIssues(s)
	m.setIssues(issues)
	m.updateBaseline(s, issues)
	m.health.SelfTime = s.meanSelfTime()
}

// Health returns the upstream's health as of the last interval, with the present numbers of waiting and running calls.
func (m *Monitor) Health() pomelo.Health {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.health
	h.Service = m.service
	h.BaselineSelfTime = m.baseline
	h.Waiting = m.waiting
	h.Running = m.running
	return h
}

func (m *Monitor) detectIssues(s sample) []pomelo.HealthIssue {
	if m.service != "" && m.withdrawn {
		return []pomelo.HealthIssue{{Kind: pomelo.HealthIssueWithdrawn, Detail: "the upstream has withdrawn"}}
	}
	return detectIssues(s, m.baseline, m.slots)
}

// setIssues keeps the last issues for some healthy intervals, so that UnhealthySince is the beginning of a lasting problem and not of its last episode.
func (m *Monitor) setIssues(issues []pomelo.HealthIssue) {
	if len(issues) > 0 {
		m.healthy = 0
		m.health.Issues = issues
		if m.health.UnhealthySince == 0 {
			m.health.UnhealthySince = m.clock.Now()
		}
		return
	}
	m.healthy++
	if m.healthy >= recoveryIntervals {
		m.health.Issues = nil
		m.health.UnhealthySince = 0
	}
}

// updateBaseline sets the baseline from the first window with enough calls, and then moves it slowly.
func (m *Monitor) updateBaseline(s sample, issues []pomelo.HealthIssue) {
	if s.complete < minCalls {
		return
	}
	weight := healthyWeight
	if len(issues) > 0 {
		weight = unhealthyWeight
	}
	if m.baseline == 0 {
		weight = 1
	}
	m.baseline += weight * (s.meanSelfTime() - m.baseline)
}

func (m *Monitor) update(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

type permit struct {
	pomelo.Permit
	monitor *Monitor
}

// Release passes the call's end to the limiter and counts it.
func (p *permit) Release(selfTime pomelo.Millis, complete bool) {
	p.Permit.Release(selfTime, complete)
	p.monitor.update(func() {
		p.monitor.running--
		if !complete {
			p.monitor.current.failed++
			return
		}
		p.monitor.current.complete++
		p.monitor.current.selfTime += float64(selfTime)
	})
}
