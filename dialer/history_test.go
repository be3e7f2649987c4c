package dialer_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/dialer"
	"github.com/pomeloworks/pomelo/fence"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/pick"
	"github.com/pomeloworks/pomelo/send"
	"github.com/pomeloworks/pomelo/wire"
)

// Sizes in bytes and counts of one seeded run.
const (
	largeBody         = 200 << 10
	callsPerRun       = 16
	concurrentCallers = 4
	faultsPerRun      = 4
	servingNodes      = 2
)

// bodySizes are the sizes of request bodies in bytes: a short request may arrive complete but late, a long one truncated.
var bodySizes = []int{100, largeBody}

// history records the runs of each call at the upstreams and the answer its caller got.
type history struct {
	mu      sync.Mutex
	runs    map[string]int
	answers map[string]pomelo.Answer
}

// violations lists the calls whose answer contradicts their runs.
func (h *history) violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []string
	for id, a := range h.answers {
		if f := h.violation(id, a); f != "" {
			found = append(found, id+": "+f)
		}
	}
	return found
}

// violation describes how the answer contradicts the runs of the call; empty if it does not.
func (h *history) violation(id string, a pomelo.Answer) string {
	n := h.runs[id]
	switch {
	case n > 1 && !isIdempotent(id):
		return fmt.Sprint("ran ", n, " times")
	case a.Refusal == nil && n == 0:
		return "answered without a run"
	case a.Refusal == nil && !bytes.Equal(a.Body, answerOf(id)):
		return "another call's answer, or an incomplete one"
	case a.Refusal != nil && a.Refusal.Ran == pomelo.RanNo && n > 0:
		return "a false 'not run'"
	case a.Refusal != nil && a.Refusal.Ran == pomelo.RanYes && n == 0:
		return "a false 'ran'"
	}
	return ""
}

// isIdempotent reports whether the call belongs to the last of the four callers, whose calls are idempotent.
func isIdempotent(id string) bool { return strings.Split(id, "-")[1] == "3" }

func answerOf(id string) []byte { return bytes.Repeat([]byte(id), largeBody/len(id)) }

// counters implements the counters of pomelo.Metrics only.
type counters struct {
	pomelo.Metrics
	mu     sync.Mutex
	byName map[string]int64
}

// Count adds n to the named counter.
func (c *counters) Count(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byName[name] += n
}

func (c *counters) count(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byName[name]
}

// site is a calling node and several serving nodes, each behind a relay of its own.
type site struct {
	history
	pool    *dialer.Pool
	sender  *send.Sender
	pairs   []*pair
	metrics *counters
	pending []func()
	faults  *rand.Rand
	callers *rand.Rand
}

// injectFault puts a faulty handler in place of a serving node's fence.
type injectFault func(*fence.Table) pomelo.Handler

func newSite(seed uint64, p injectFault) *site {
	s := &site{faults: rand.New(rand.NewPCG(seed, 0)), callers: rand.New(rand.NewPCG(seed, 1)), metrics: &counters{byName: map[string]int64{}}}
	s.runs = map[string]int{}
	s.answers = map[string]pomelo.Answer{}
	c := clock.New()
	for i := range servingNodes {
		var h pomelo.Handler = fence.New(c, handler(s.serve))
		if p != nil {
			h = p(h.(*fence.Table))
		}
		q := newPair(h)
		q.member.VM = fmt.Sprint("b", i)
		q.member.Service = "shop"
		s.pairs = append(s.pairs, q)
	}
	s.pool = dialer.New(newIdentity(), wire.New(wire.WithLimits(headLimit, 1<<20)), dialer.WithMetrics(s.metrics))
	s.sender = send.New(c, s, pick.New(clock.New(), seed), s.pool, nil, metric.New())
	return s
}

func (s *site) close() {
	s.pool.Close()
	for _, p := range s.pairs {
		p.close()
	}
}

// Self, Serving, All and ByFingerprint implement the calling node's pomelo.Membership.
func (s *site) Self() pomelo.Member { return pomelo.Member{VM: "a"} }

func (s *site) Serving(string) []pomelo.Member {
	var members []pomelo.Member
	for _, p := range s.pairs {
		members = append(members, p.member)
	}
	return members
}

func (s *site) All() []pomelo.Member { return s.Serving("") }

func (s *site) ByFingerprint(string) (pomelo.Member, bool) { return pomelo.Member{}, false }

// serve is the upstream; it fires a pending fault at the start and before the end of each call.
func (s *site) serve(ctx context.Context, c pomelo.Call) pomelo.Answer {
	s.mu.Lock()
	s.runs[c.ID]++
	s.mu.Unlock()
	s.fireFault()
	select {
	case <-ctx.Done():
		f := pomelo.NewFault(pomelo.KindCanceled, "cancelled", "")
		f.Ran = pomelo.RanYes
		return pomelo.Refuse(c.ID, f)
	case <-time.After(5 * time.Millisecond):
	}
	s.fireFault()
	return pomelo.Answer{CallID: c.ID, Status: http.StatusOK, Body: answerOf(c.ID)}
}

func (s *site) fireFault() {
	s.mu.Lock()
	var f func()
	if len(s.pending) > 0 {
		f = s.pending[0]
		s.pending = s.pending[1:]
	}
	s.mu.Unlock()
	if f != nil {
		f()
	}
}

// scheduleFault cuts off or delays one node's connections, at once or at a random step of some call.
func (s *site) scheduleFault() {
	r := s.pairs[s.faults.IntN(servingNodes)].relay
	direction := s.faults.IntN(3)
	up, down := direction != 1, direction != 0
	var delay pomelo.Millis
	if s.faults.IntN(2) == 0 {
		delay = pomelo.Millis(900 + s.faults.IntN(600))
	}
	cut := func() { r.Delay(up, down, delay) }
	switch s.faults.IntN(5) {
	case 0:
		cut()
	case 1:
		r.AfterBytes(true, s.faults.IntN(largeBody), cut)
	case 2:
		s.mu.Lock()
		s.pending = append(s.pending, cut)
		s.mu.Unlock()
	case 3:
		s.mu.Lock()
		s.pending = append(s.pending, func() {}, cut)
		s.mu.Unlock()
	case 4:
		r.AfterBytes(false, s.faults.IntN(largeBody), cut)
	}
}

func (s *site) run(seed uint64) {
	var callers sync.WaitGroup
	for w := range concurrentCallers {
		callers.Go(func() {
			for n := range callsPerRun / concurrentCallers {
				s.call(fmt.Sprintf("%d-%d-%d", seed, w, n), bodySizes[w%len(bodySizes)])
			}
		})
	}
	for range faultsPerRun {
		s.scheduleFault()
		time.Sleep(300 * time.Millisecond)
	}
	callers.Wait()
	// Wait for delayed data, so that the check sees a call that a late frame has started.
	time.Sleep(1700 * time.Millisecond)
}

func (s *site) call(id string, size int) {
	c := pomelo.Call{ID: id, RootID: id, Service: "shop", Method: http.MethodPost, Path: "/orders", NonIdempotent: !isIdempotent(id), RetriesLeft: 2, Body: make([]byte, size)}
	c.Deadline = clock.New().Now() + 6000
	s.mu.Lock()
	cancels, after := s.callers.IntN(8) == 0, s.callers.IntN(1000)
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if cancels {
		defer time.AfterFunc(time.Duration(after)*time.Millisecond, cancel).Stop()
	}
	a := s.sender.Handle(ctx, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[id] = a
}
