package send

import (
	"context"
	"io"
	"slices"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/notice"
	"github.com/pomeloworks/pomelo/subset"
)

const (
	noUpstreamRetryAfter = pomelo.Millis(1000)
	// subsetAttempts is the number of members of the subset that a call is sent to before it is sent to any member, which leaves as many of the four placements for those.
	subsetAttempts = 2
)

// Sender implements pomelo.Handler for calls that leave this node.
type Sender struct {
	clock       pomelo.Clock
	members     pomelo.Membership
	picker      pomelo.Picker
	transport   pomelo.Transport
	local       pomelo.Handler
	metrics     pomelo.Metrics
	retryBudget pomelo.RetryBudget
	notices     *notice.Board
	log         pomelo.Logger
	// subset, if it is set, chooses the members for the first subsetAttempts of a call; service is this node's.
	subset  *subset.Chooser
	service string
	// evacuations is nil if evacuations don't apply.
	evacuations pomelo.Evacuations
	filtered    filtered
	// maxPlacements bounds the members that one call is sent to where a refusal before the upstream costs no retry; at 0 every further attempt costs one.
	maxPlacements int
	// maxAttempts bounds the attempts of one call that its upstreams reject and that no other member may be tried for; at 0 no member is sent the call twice.
	maxAttempts int
}

// New returns a sender that passes calls for this node to local, without the network.
func New(clock pomelo.Clock, members pomelo.Membership, picker pomelo.Picker, transport pomelo.Transport, local pomelo.Handler, metrics pomelo.Metrics, opts ...func(*Sender)) *Sender {
	s := &Sender{
		clock:       clock,
		members:     members,
		picker:      picker,
		transport:   transport,
		local:       local,
		metrics:     metrics,
		retryBudget: unlimited{},
		notices:     notice.New(clock),
		log:         logs.New(io.Discard),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// WithRetryBudget bounds the retries to each service, in addition to the retries left of each call.
func WithRetryBudget(b pomelo.RetryBudget) func(*Sender) {
	return func(s *Sender) { s.retryBudget = b }
}

// WithLog logs each further attempt of a call that is not idempotent.
func WithLog(log pomelo.Logger) func(*Sender) {
	return func(s *Sender) { s.log = log }
}

// WithMaxPlacements allows up to n members in all to refuse a call before their upstream has seen it, without spending a retry.
func WithMaxPlacements(n int) func(*Sender) {
	return func(s *Sender) { s.maxPlacements = n }
}

// WithMaxAttempts allows a call that its upstreams rejected to be retried at the same members, up to n attempts in all and within the retry budget: an upstream may reject calls at random.
func WithMaxAttempts(n int) func(*Sender) {
	return func(s *Sender) { s.maxAttempts = n }
}

// WithSubset sends calls to a subset of the members, and the ones that members of it did not accept to any; service is that of the upstream beside this node.
func WithSubset(c *subset.Chooser, service string) func(*Sender) {
	return func(s *Sender) {
		s.subset = c
		s.service = service
	}
}

// Handle sends the call until it is answered, its retries are spent, or no member remains; the answer returns the unspent retries.
func (s *Sender) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	r := newCallRetries(c.RetriesLeft)
	a := s.deliver(ctx, c, &r)
	a.RetriesLeft = r.remaining
	return a
}

func (s *Sender) deliver(ctx context.Context, c pomelo.Call, r *callRetries) pomelo.Answer {
	m, ok := s.pick(c, nil)
	if !ok {
		return pomelo.Refuse(c.ID, s.noCandidate(c))
	}
	s.retryBudget.RecordCall(c.Service)
	var tried []string
	ran := pomelo.RanNo
	for {
		c.RetriesLeft = s.delegate(r)
		a := s.attempt(ctx, m, c)
		r.reclaim(a)
		a = withPriorRan(a, ran)
		if a.Refusal != nil {
			ran = a.Refusal.Ran
		}
		tried = append(tried, m.VM)
		m, ok = s.nextMember(ctx, c, a, r, tried)
		if !ok {
			return a
		}
		s.metrics.Count("send.retries", 1)
		if c.NonIdempotent {
			s.log.Info("call_retried", "request", c.ID, "root", c.RootID, "service", c.Service, "attempt", len(tried)+1, "member", m.VM, "previous", tried[len(tried)-1], "kind", a.Refusal.Kind, "reason", a.Refusal.Message, "ran", a.Refusal.Ran)
		}
	}
}

// nextMember chooses the member for the next attempt and spends a retry for it if it costs one; false means that the answer is final.
func (s *Sender) nextMember(ctx context.Context, c pomelo.Call, a pomelo.Answer, r *callRetries, tried []string) (pomelo.Member, bool) {
	if !mayRetry(ctx, c, a) {
		return pomelo.Member{}, false
	}
	if s.costsNoRetry(a) {
		if len(tried) >= s.maxPlacements {
			return pomelo.Member{}, false
		}
		return s.pick(c, tried)
	}
	if r.remaining == 0 {
		return s.retryTried(c, a, tried)
	}
	m, ok := s.pick(c, tried)
	if !ok {
		return s.retryTried(c, a, tried)
	}
	if !s.allowsRetry(c, a) {
		return pomelo.Member{}, false
	}
	r.remaining--
	return m, true
}

// pick chooses among the untried members of the subset, and among all untried members if there is none or subsetAttempts of the subset did not accept the call.
func (s *Sender) pick(c pomelo.Call, tried []string) (pomelo.Member, bool) {
	members := s.candidates(c)
	if s.subset != nil && len(tried) < subsetAttempts {
		chosen := s.subset.Choose(c.Service, members, s.members.Self(), len(s.members.Serving(s.service)))
		if m, ok := s.picker.Pick(c, chosen, tried); ok {
			return m, true
		}
	}
	return s.picker.Pick(c, members, tried)
}

// retryTried chooses among the members already tried for a call that an upstream rejected.
func (s *Sender) retryTried(c pomelo.Call, a pomelo.Answer, tried []string) (pomelo.Member, bool) {
	if !a.ReachedUpstream || a.Refusal.Ran != pomelo.RanNo || a.Refusal.Kind != pomelo.KindOverload || len(tried) >= s.maxAttempts {
		return pomelo.Member{}, false
	}
	var candidates []pomelo.Member
	for _, m := range s.candidates(c) {
		if slices.Contains(tried, m.VM) {
			candidates = append(candidates, m)
		}
	}
	m, ok := s.picker.Pick(c, candidates, nil)
	return m, ok && s.allowsRetry(c, a)
}

// delegate returns the retries that the next attempt may spend: none with placements, where members spend none for their sub-calls.
func (s *Sender) delegate(r *callRetries) int {
	if s.maxPlacements > 0 {
		return 0
	}
	return r.delegate()
}

// costsNoRetry reports whether another attempt costs no retry because the call was refused before an upstream saw it.
func (s *Sender) costsNoRetry(a pomelo.Answer) bool {
	return s.maxPlacements > 0 && !a.ReachedUpstream && a.Refusal.Ran == pomelo.RanNo
}

// allowsRetry requires the retry budget to allow a retry, except for a call that a draining upstream rejected: a planned stop is no sign of overload.
func (s *Sender) allowsRetry(c pomelo.Call, a pomelo.Answer) bool {
	return a.Refusal.Kind == pomelo.KindDraining || s.retryBudget.TryRetry(c)
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
	c.Notice = s.notices.Of(m.VM)
	s.picker.Sent(m)
	a := s.dispatch(ctx, m, c)
	s.notices.Record(m.VM, a.Notice)
	s.picker.Done(m, c, s.clock.Now()-now, a)
	return a
}

func (s *Sender) dispatch(ctx context.Context, m pomelo.Member, c pomelo.Call) pomelo.Answer {
	if m.VM == s.members.Self().VM {
		return s.local.Handle(ctx, c)
	}
	return s.transport.Send(ctx, m, c)
}

// mayRetry reports whether the call may be sent again: only if it did not run or is idempotent.
func mayRetry(ctx context.Context, c pomelo.Call, a pomelo.Answer) bool {
	if a.Refusal == nil || ctx.Err() != nil {
		return false
	}
	switch a.Refusal.Kind {
	case pomelo.KindOverload, pomelo.KindDraining, pomelo.KindNoUpstream, pomelo.KindNotAuthoritative, pomelo.KindPeerLost, pomelo.KindUpstreamFailed, pomelo.KindProtocol:
	default:
		return false
	}
	return a.Refusal.Ran == pomelo.RanNo || !c.NonIdempotent
}

// withPriorRan makes a refusal cover the previous attempts too: ran says whether one of them ran.
func withPriorRan(a pomelo.Answer, ran pomelo.Ran) pomelo.Answer {
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
