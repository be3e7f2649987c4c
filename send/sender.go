package send

import (
	"context"
	"slices"

	"github.com/pomeloworks/pomelo"
)

const noUpstreamRetryAfter = pomelo.Millis(1000)

// Sender implements pomelo.Handler for calls that leave this node.
type Sender struct {
	clock     pomelo.Clock
	members   pomelo.Membership
	picker    pomelo.Picker
	transport pomelo.Transport
	local     pomelo.Handler
	metrics   pomelo.Metrics
	retries   pomelo.RetryBudget
	// placements bounds the members asked for one call where a refusal before the upstream costs no retry; 0 has each cost one.
	placements int
	// repeats bounds the attempts of one call where its upstreams turn it away and no other may be tried; 0 sends to no member twice.
	repeats int
}

// New returns a sender; calls that it picks this node for go to local without the network.
func New(clock pomelo.Clock, members pomelo.Membership, picker pomelo.Picker, transport pomelo.Transport, local pomelo.Handler, metrics pomelo.Metrics, opts ...func(*Sender)) *Sender {
	s := &Sender{
		clock:     clock,
		members:   members,
		picker:    picker,
		transport: transport,
		local:     local,
		metrics:   metrics,
		retries:   unlimited{},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// WithRetryLimiter bounds the retries to each service besides the budget of each request.
func WithRetryLimiter(l pomelo.RetryBudget) func(*Sender) {
	return func(s *Sender) { s.retries = l }
}

// WithPlacements lets up to so many members in all refuse a call before their upstream has seen it, without a retry being spent.
func WithPlacements(n int) func(*Sender) {
	return func(s *Sender) { s.placements = n }
}

// WithRepeats lets a call that its upstreams turned away go to the same ones again, up to n attempts in all and within the retry limiter: they may turn calls away by chance.
func WithRepeats(n int) func(*Sender) {
	return func(s *Sender) { s.repeats = n }
}

// Handle sends the call until it is answered, its retries are spent, or no member is left; the answer brings back the unspent ones.
func (s *Sender) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	p := newBudget(c.RetriesLeft)
	a := s.deliver(ctx, c, &p)
	a.RetriesLeft = p.left
	return a
}

func (s *Sender) deliver(ctx context.Context, c pomelo.Call, p *budget) pomelo.Answer {
	m, ok := s.picker.Pick(c, s.members.Serving(c.Service), nil)
	if !ok {
		return pomelo.Refuse(c.ID, noUpstream(c.Service))
	}
	s.retries.RecordCall(c.Service)
	var tried []string
	ran := pomelo.RanNo
	for {
		c.RetriesLeft = s.lend(p)
		a := s.attempt(ctx, m, c)
		p.settle(a)
		a = overall(a, ran)
		if a.Refusal != nil {
			ran = a.Refusal.Ran
		}
		tried = append(tried, m.VM)
		m, ok = s.next(ctx, c, a, p, tried)
		if !ok {
			return a
		}
		s.metrics.Count("send.retries", 1)
	}
}

// next chooses the member for another attempt and pays for it; false means that the answer is final.
func (s *Sender) next(ctx context.Context, c pomelo.Call, a pomelo.Answer, p *budget, tried []string) (pomelo.Member, bool) {
	if !mayRepeat(ctx, c, a) {
		return pomelo.Member{}, false
	}
	if s.isFree(a) {
		if len(tried) >= s.placements {
			return pomelo.Member{}, false
		}
		return s.picker.Pick(c, s.members.Serving(c.Service), tried)
	}
	if p.left == 0 {
		return s.again(c, a, tried)
	}
	m, ok := s.picker.Pick(c, s.members.Serving(c.Service), tried)
	if !ok {
		return s.again(c, a, tried)
	}
	if !s.allowed(c, a) {
		return pomelo.Member{}, false
	}
	p.left--
	return m, true
}

// again chooses among the members that were tried for a call that an upstream turned away.
func (s *Sender) again(c pomelo.Call, a pomelo.Answer, tried []string) (pomelo.Member, bool) {
	if !a.ReachedUpstream || a.Refusal.Ran != pomelo.RanNo || a.Refusal.Kind != pomelo.KindOverload || len(tried) >= s.repeats {
		return pomelo.Member{}, false
	}
	var known []pomelo.Member
	for _, m := range s.members.Serving(c.Service) {
		if slices.Contains(tried, m.VM) {
			known = append(known, m)
		}
	}
	m, ok := s.picker.Pick(c, known, nil)
	return m, ok && s.allowed(c, a)
}

// lend passes no retries on to members that spend none for their sub-calls.
func (s *Sender) lend(p *budget) int {
	if s.placements > 0 {
		return 0
	}
	return p.lend()
}

// isFree reports whether the call was refused before any upstream saw it.
func (s *Sender) isFree(a pomelo.Answer) bool {
	return s.placements > 0 && !a.ReachedUpstream && a.Refusal.Ran == pomelo.RanNo
}

// allowed lets a call that a leaving upstream turned away go on whatever the ratio: a planned stop is no sign of overload.
func (s *Sender) allowed(c pomelo.Call, a pomelo.Answer) bool {
	return a.Refusal.Kind == pomelo.KindDraining || s.retries.TryRetry(c.Service)
}

func (s *Sender) attempt(ctx context.Context, m pomelo.Member, c pomelo.Call) pomelo.Answer {
	now := s.clock.Now()
	c.TimeLeft = c.Deadline - now
	if c.TimeLeft <= 0 {
		return pomelo.Refuse(c.ID, pomelo.NewFault(pomelo.KindDeadline, "the request's deadline has passed", "allow more time"))
	}
	if ctx.Err() != nil {
		return pomelo.Refuse(c.ID, pomelo.NewFault(pomelo.KindCanceled, "the caller has left", "send it again if it is still wanted"))
	}
	ctx, cancel := context.WithTimeout(ctx, c.TimeLeft.Duration())
	defer cancel()
	s.picker.Sent(m)
	a := s.carry(ctx, m, c)
	s.picker.Done(m, c, s.clock.Now()-now, a)
	return a
}

func (s *Sender) carry(ctx context.Context, m pomelo.Member, c pomelo.Call) pomelo.Answer {
	if m.VM == s.members.Self().VM {
		return s.local.Handle(ctx, c)
	}
	return s.transport.Send(ctx, m, c)
}

// mayRepeat reports whether another member may be tried: only a call that did not run, or that is idempotent.
func mayRepeat(ctx context.Context, c pomelo.Call, a pomelo.Answer) bool {
	if a.Refusal == nil || ctx.Err() != nil {
		return false
	}
	switch a.Refusal.Kind {
	case pomelo.KindOverload, pomelo.KindDraining, pomelo.KindNoUpstream, pomelo.KindPeerLost, pomelo.KindUpstreamFailed, pomelo.KindProtocol:
	default:
		return false
	}
	return a.Refusal.Ran == pomelo.RanNo || !c.NonIdempotent
}

// overall makes a refusal answer for the attempts before it as well, of which ran is known.
func overall(a pomelo.Answer, ran pomelo.Ran) pomelo.Answer {
	if a.Refusal == nil || ran == pomelo.RanNo || a.Refusal.Ran == pomelo.RanYes {
		return a
	}
	f := *a.Refusal
	f.Ran = ran
	a.Refusal = &f
	return a
}

func noUpstream(service string) *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindNoUpstream, "no upstream of service "+service+" is known", "come back after the given time")
	f.RetryAfter = noUpstreamRetryAfter
	return f
}
