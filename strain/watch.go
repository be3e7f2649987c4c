package strain

import (
	"context"
	"sync"

	"github.com/pomeloworks/pomelo"
)

const (
	interval = pomelo.Millis(1_000)
	// recent is how many seconds are judged together, and settled how many calm ones end the struggle.
	recent  = 5
	settled = 3
	// calmWeight is the weight of one calm second in the usual own time, and strainWeight of one in a struggle, so that a lasting change becomes usual.
	calmWeight   = 0.02
	strainWeight = 0.0005
)

// Watch is a pomelo.Gate that passes everything to the gate it watches.
type Watch struct {
	pomelo.ConcurrencyLimiter
	clock   pomelo.Clock
	mu      sync.Mutex
	service string
	gone    bool
	slots   int
	waiting int
	running int
	current sample
	past    []sample
	usual   float64
	calm    int
	strain  pomelo.Health
}

// New watches a gate; Run has to be called for the judgement.
func New(gate pomelo.ConcurrencyLimiter, clock pomelo.Clock) *Watch {
	return &Watch{ConcurrencyLimiter: gate, clock: clock}
}

// Acquire passes the call to the gate and counts how it fared there.
func (w *Watch) Acquire(ctx context.Context, c pomelo.Call) (pomelo.Permit, error) {
	w.change(func() { w.waiting++; w.current.entered++ })
	p, err := w.ConcurrencyLimiter.Acquire(ctx, c)
	if err != nil {
		w.change(func() { w.waiting--; w.current.refused++ })
		return p, err
	}
	w.change(func() { w.waiting--; w.running++ })
	return &pass{Permit: p, watch: w}, nil
}

// Announced takes note of the upstream; a zero value is its withdrawal.
func (w *Watch) Announced(u pomelo.Upstream) {
	w.change(func() {
		if u.Service != "" {
			w.service = u.Service
		}
		w.gone = u.Service == ""
		w.slots = u.Slots
	})
}

// Run judges the upstream every second until the context ends.
func (w *Watch) Run(ctx context.Context) {
	for w.clock.Sleep(ctx, interval) == nil {
		w.Tick()
	}
}

// Tick ends a second and judges the last ones.
func (w *Watch) Tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current.waiting = w.waiting
	w.past = append(w.past, w.current)
	if len(w.past) > recent {
		w.past = w.past[1:]
	}
	w.current = sample{}
	s := sum(w.past)
	reasons := w.judge(s)
	w.settle(reasons)
	w.learn(s, reasons)
	w.strain.SelfTime = s.meanOwn()
}

// Strain tells how the upstream fares.
func (w *Watch) Strain() pomelo.Health {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.strain
	s.Service = w.service
	s.BaselineSelfTime = w.usual
	s.Waiting = w.waiting
	s.Running = w.running
	return s
}

func (w *Watch) judge(s sample) []pomelo.HealthIssue {
	if w.service != "" && w.gone {
		return []pomelo.HealthIssue{{Kind: pomelo.HealthIssueWithdrawn, Detail: "the upstream has withdrawn"}}
	}
	return judge(s, w.usual, w.slots)
}

// settle keeps the last reasons until some calm seconds have passed, so that Since tells the beginning of a struggle.
func (w *Watch) settle(reasons []pomelo.HealthIssue) {
	if len(reasons) > 0 {
		w.calm = 0
		w.strain.Issues = reasons
		if w.strain.UnhealthySince == 0 {
			w.strain.UnhealthySince = w.clock.Now()
		}
		return
	}
	w.calm++
	if w.calm >= settled {
		w.strain.Issues = nil
		w.strain.UnhealthySince = 0
	}
}

// learn takes the usual own time from the first seconds fully, and then slowly.
func (w *Watch) learn(s sample, reasons []pomelo.HealthIssue) {
	if s.whole < leastCalls {
		return
	}
	weight := calmWeight
	if len(reasons) > 0 {
		weight = strainWeight
	}
	if w.usual == 0 {
		weight = 1
	}
	w.usual += weight * (s.meanOwn() - w.usual)
}

func (w *Watch) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

type pass struct {
	pomelo.Permit
	watch *Watch
}

// Release passes the end to the gate and counts it.
func (p *pass) Release(own pomelo.Millis, whole bool) {
	p.Permit.Release(own, whole)
	p.watch.change(func() {
		p.watch.running--
		if !whole {
			p.watch.current.broken++
			return
		}
		p.watch.current.whole++
		p.watch.current.own += float64(own)
	})
}
