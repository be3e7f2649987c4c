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
	largeBody    = 200 << 10
	callsPerRun  = 16
	callsAtOnce  = 4
	faultsPerRun = 4
	serving      = 2
)

// bodies are the sizes of requests in bytes: a short one may arrive whole and late, a long one cut.
var bodies = []int{100, largeBody}

// history is what callers and upstreams saw of each call.
type history struct {
	mu      sync.Mutex
	runs    map[string]int
	answers map[string]pomelo.Answer
}

// broken lists the calls whose outcome their runs contradict.
func (h *history) broken() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for id, a := range h.answers {
		if f := h.judge(id, a); f != "" {
			out = append(out, id+": "+f)
		}
	}
	return out
}

func (h *history) judge(id string, a pomelo.Answer) string {
	n := h.runs[id]
	switch {
	case n > 1 && !mayRepeat(id):
		return fmt.Sprint("ran ", n, " times")
	case a.Refusal == nil && n == 0:
		return "answered without a run"
	case a.Refusal == nil && !bytes.Equal(a.Body, answerOf(id)):
		return "another call's answer, or not a whole one"
	case a.Refusal != nil && a.Refusal.Ran == pomelo.RanNo && n > 0:
		return "a false 'not run'"
	case a.Refusal != nil && a.Refusal.Ran == pomelo.RanYes && n == 0:
		return "a false 'ran'"
	}
	return ""
}

// mayRepeat marks every fourth caller's calls as idempotent.
func mayRepeat(id string) bool { return strings.Split(id, "-")[1] == "3" }

func answerOf(id string) []byte { return bytes.Repeat([]byte(id), largeBody/len(id)) }

// counts keeps the counters of pomelo.Metrics only.
type counts struct {
	pomelo.Metrics
	mu sync.Mutex
	by map[string]int64
}

// Count adds n to the named counter.
func (c *counts) Count(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.by[name] += n
}

func (c *counts) count(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.by[name]
}

// site is a calling node and serving nodes, each behind a relay of its own.
type site struct {
	history
	pool    *dialer.Pool
	sender  *send.Sender
	pairs   []*pair
	metrics *counts
	armed   []func()
	random  *rand.Rand
	callers *rand.Rand
}

// plant puts a fault into a serving node's fence.
type plant func(*fence.Table) pomelo.Handler

func newSite(seed uint64, p plant) *site {
	s := &site{random: rand.New(rand.NewPCG(seed, 0)), callers: rand.New(rand.NewPCG(seed, 1)), metrics: &counts{by: map[string]int64{}}}
	s.runs = map[string]int{}
	s.answers = map[string]pomelo.Answer{}
	c := clock.New()
	for i := range serving {
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

// Self, Serving, All and ByFingerprint make the site the calling node's pomelo.Membership.
func (s *site) Self() pomelo.Member { return pomelo.Member{VM: "a"} }

func (s *site) Serving(string) []pomelo.Member {
	var out []pomelo.Member
	for _, p := range s.pairs {
		out = append(out, p.member)
	}
	return out
}

func (s *site) All() []pomelo.Member { return s.Serving("") }

func (s *site) ByFingerprint(string) (pomelo.Member, bool) { return pomelo.Member{}, false }

// serve is the upstream; it fires the faults that wait for a dispatch or an end.
func (s *site) serve(ctx context.Context, c pomelo.Call) pomelo.Answer {
	s.mu.Lock()
	s.runs[c.ID]++
	s.mu.Unlock()
	s.fire()
	select {
	case <-ctx.Done():
		f := pomelo.NewFault(pomelo.KindCanceled, "cancelled", "")
		f.Ran = pomelo.RanYes
		return pomelo.Refuse(c.ID, f)
	case <-time.After(5 * time.Millisecond):
	}
	s.fire()
	return pomelo.Answer{CallID: c.ID, Status: http.StatusOK, Body: answerOf(c.ID)}
}

func (s *site) fire() {
	s.mu.Lock()
	var f func()
	if len(s.armed) > 0 {
		f = s.armed[0]
		s.armed = s.armed[1:]
	}
	s.mu.Unlock()
	if f != nil {
		f()
	}
}

// fault silences or delays one node's connections at a step of some call.
func (s *site) fault() {
	r := s.pairs[s.random.IntN(serving)].relay
	direction := s.random.IntN(3)
	up, down := direction != 1, direction != 0
	var hold pomelo.Millis
	if s.random.IntN(2) == 0 {
		hold = pomelo.Millis(900 + s.random.IntN(600))
	}
	cut := func() { r.Delay(up, down, hold) }
	switch s.random.IntN(5) {
	case 0:
		cut()
	case 1:
		r.After(true, s.random.IntN(largeBody), cut)
	case 2:
		s.mu.Lock()
		s.armed = append(s.armed, cut)
		s.mu.Unlock()
	case 3:
		s.mu.Lock()
		s.armed = append(s.armed, func() {}, cut)
		s.mu.Unlock()
	case 4:
		r.After(false, s.random.IntN(largeBody), cut)
	}
}

func (s *site) run(seed uint64) {
	var callers sync.WaitGroup
	for w := range callsAtOnce {
		callers.Go(func() {
			for n := range callsPerRun / callsAtOnce {
				s.call(fmt.Sprintf("%d-%d-%d", seed, w, n), bodies[w%len(bodies)])
			}
		})
	}
	for range faultsPerRun {
		s.fault()
		time.Sleep(300 * time.Millisecond)
	}
	callers.Wait()
	// Whatever was held is let through, so that a late frame can do its harm.
	time.Sleep(1700 * time.Millisecond)
}

func (s *site) call(id string, size int) {
	c := pomelo.Call{ID: id, RootID: id, Service: "shop", Method: http.MethodPost, Path: "/orders", NonIdempotent: !mayRepeat(id), RetriesLeft: 2, Body: make([]byte, size)}
	c.Deadline = clock.New().Now() + 6000
	s.mu.Lock()
	leaves, after := s.callers.IntN(8) == 0, s.callers.IntN(1000)
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if leaves {
		defer time.AfterFunc(time.Duration(after)*time.Millisecond, cancel).Stop()
	}
	a := s.sender.Handle(ctx, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[id] = a
}
