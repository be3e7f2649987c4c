package intake

import (
	"context"
	"math"
	"net/http"
	"strings"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/hold"
	"github.com/pomeloworks/pomelo/sizes"
)

// Times in milliseconds.
const (
	// keyAgeMargin is subtracted from the allowed age of the node's policy, so that a withdrawn key is refused in time despite clock drift.
	keyAgeMargin = pomelo.Millis(200)
	// noPolicyRetryAfter is returned while the node has not received a policy.
	noPolicyRetryAfter = pomelo.Millis(500)
	// staleKeysRetryAfter is returned while the node's policy is too old to authenticate keys because the store can't be reached.
	staleKeysRetryAfter = pomelo.Millis(1_000)
	// defaultRetryAfter is returned with refusals that set no time: about the time in which a change of members reaches all nodes.
	defaultRetryAfter = pomelo.Millis(300)
	// memoryRetryAfter is returned while there is no memory for a long answer.
	memoryRetryAfter = pomelo.Millis(1_000)
	// defaultCallerTimeout applies to requests without a timeout.
	defaultCallerTimeout = pomelo.Millis(10_000)
)

// Intake turns callers' requests into calls and answers into replies.
type Intake struct {
	clock     pomelo.Clock
	dialect   pomelo.Dialect
	policies  pomelo.PolicySource
	rates     pomelo.RateLimiter
	entry     pomelo.Handler
	next      pomelo.Handler
	parents   ParentCalls
	metrics   pomelo.Metrics
	log       pomelo.Logger
	service   string
	maxKeyAge pomelo.Millis
	balancer  balancer
	stop      stop
	answers   *sizes.Sizes
}

// New returns an intake for a VM of this service that passes root requests to entry and sub-calls to next; maxKeyAge is the allowed age, in milliseconds, of the policy that keys are authenticated with.
func New(clock pomelo.Clock, dialect pomelo.Dialect, policies pomelo.PolicySource, rates pomelo.RateLimiter, entry, next pomelo.Handler, parents ParentCalls, metrics pomelo.Metrics, log pomelo.Logger, service string, maxKeyAge pomelo.Millis, opts ...func(*Intake)) *Intake {
	i := &Intake{
		clock:     clock,
		dialect:   dialect,
		policies:  policies,
		rates:     rates,
		entry:     entry,
		next:      next,
		parents:   parents,
		metrics:   metrics,
		log:       log,
		service:   service,
		maxKeyAge: maxKeyAge,
		balancer:  balancer{current: map[string][]float64{}},
		answers:   sizes.New(math.MaxInt64),
	}
	for _, o := range opts {
		o(i)
	}
	return i
}

// WithAnswerSizes sets the estimate of the sizes of answers, for which requests must find memory.
func WithAnswerSizes(s *sizes.Sizes) func(*Intake) {
	return func(i *Intake) { i.answers = s }
}

// ParentCalls finds the running parent call of a sub-call, and adds the sub-call's counts to it.
type ParentCalls interface {
	Parent(id string) (pomelo.Call, bool)
	AddSubtreeCalls(id string, calls []pomelo.SubtreeCalls)
}

// Handle turns one request into a call and returns the reply.
func (i *Intake) Handle(ctx context.Context, r *http.Request, body []byte) pomelo.Reply {
	arrivedAt := i.clock.Now()
	q, err := i.dialect.DecodeRequest(r, body)
	if err != nil {
		return i.reply(q, pomelo.Call{ID: q.ID}, pomelo.Refuse(q.ID, pomelo.FaultOf(err)), arrivedAt)
	}
	c, err := i.admit(ctx, q, arrivedAt)
	if err != nil {
		return i.reply(q, c, pomelo.Refuse(q.ID, pomelo.FaultOf(err)), arrivedAt)
	}
	a := i.withoutPromise(c, i.dispatch(ctx, c))
	i.answers.Record(c.RouteName, len(a.Body))
	if c.Account != "" && a.Refusal != nil && a.Refusal.Ran == pomelo.RanNo {
		i.rates.Refund(c.Account)
	}
	return i.reply(q, c, a, arrivedAt)
}

func (i *Intake) dispatch(ctx context.Context, c pomelo.Call) pomelo.Answer {
	if c.Depth == 0 {
		return i.entry.Handle(ctx, c)
	}
	a := i.next.Handle(ctx, c)
	i.parents.AddSubtreeCalls(c.ParentID, a.SubtreeCalls)
	if a.Refusal != nil && a.Refusal.Kind == pomelo.KindOverload {
		i.parents.AddSubtreeCalls(c.ParentID, []pomelo.SubtreeCalls{{Service: c.Service, Refused: 1}})
	}
	return a
}

// admit makes a call of the request if it may run; the error is a *pomelo.Fault.
func (i *Intake) admit(ctx context.Context, q pomelo.Request, arrivedAt pomelo.Millis) (pomelo.Call, error) {
	c := pomelo.Call{ID: q.ID, RootID: q.ID}
	p, ok := i.policies.Policy()
	if !ok {
		f := pomelo.NewFault(pomelo.KindNotAuthoritative, "this node knows no policy yet", "come back after the given time")
		f.RetryAfter = noPolicyRetryAfter
		return c, f
	}
	route, ok := p.Match(q.Host, q.Path)
	if !ok {
		return c, pomelo.NewFault(pomelo.KindNoRoute, "no route matches the host and path", "check them, or ask the operators to add a route")
	}
	if route.Unread {
		return c, unreadFault("the route can't be read")
	}
	c = i.fillCall(c, q, route, arrivedAt)
	if f := i.stop.limit(&c, arrivedAt); f != nil {
		return c, f
	}
	if err := i.authenticate(&c, q, route, p); err != nil {
		return c, err
	}
	c.Regions = regionsOf(c, route, p)
	if f := i.reserveAnswer(ctx, c); f != nil {
		return c, f
	}
	if a, ok := p.Account(c.Account); !ok || !a.IsLimited() {
		return c, nil
	}
	return c, i.rates.Admit(ctx, c)
}

// unreadFault refuses a request for which the policy has a part that can't be read; another version will have it.
func unreadFault(message string) *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindNotAuthoritative, message, "come back after the given time, or ask the operators to write the policy again")
	f.RetryAfter = staleKeysRetryAfter
	return f
}

// reserveAnswer takes the memory for the answer that the call's route is expected to give, or returns the refusal of a call that would run in vain.
func (i *Intake) reserveAnswer(ctx context.Context, c pomelo.Call) *pomelo.Fault {
	err := hold.FromContext(ctx).Reserve(i.answers.Expect(c.RouteName))
	if err == nil {
		return nil
	}
	i.metrics.Count("intake.answers_refused", 1)
	f := pomelo.NewFault(pomelo.KindOverload, "the node has no memory for the answer", "come back after the given time")
	f.RetryAfter = memoryRetryAfter
	return f
}

// fillCall sets the fields of the call that follow from the request and its route.
func (i *Intake) fillCall(c pomelo.Call, q pomelo.Request, route pomelo.TrafficRoute, arrivedAt pomelo.Millis) pomelo.Call {
	c.RouteName = route.Name
	c.Service = i.balancer.next(route)
	c.Importance = pomelo.CombineImportance(pomelo.MaxImportance, route.Importance)
	c.NonIdempotent = route.NonIdempotent
	c.RetriesLeft = max(route.MaxAttempts-1, 0)
	c.LatencyObjective = route.LatencyObjective
	c.Method = q.Method
	c.Host = q.Host
	c.Path = q.Target
	c.Header = q.Header
	c.Body = q.Body
	c.Origin = i.service
	callerTimeout := q.CallerTimeout
	if callerTimeout <= 0 {
		callerTimeout = defaultCallerTimeout
	}
	c.Deadline = arrivedAt + min(callerTimeout, route.Timeout)
	return i.inherit(c)
}

// inherit gives a sub-call the root, depth, fair-share account and importance that follow from its parent call; the request's id is only a hint at the parent, on which nothing but the queue order depends.
func (i *Intake) inherit(c pomelo.Call) pomelo.Call {
	at := strings.LastIndexByte(c.ID, '.')
	if at < 0 {
		return c
	}
	p, ok := i.parents.Parent(c.ID[:at])
	if !ok {
		return c
	}
	c.ParentID = p.ID
	c.RootID = p.RootID
	c.Depth = p.Depth + 1
	c.FairShareAccount = p.FairShareAccount
	c.Importance = p.Importance
	return c
}

// authenticate sets the account of the request's key, unless the route is open.
func (i *Intake) authenticate(c *pomelo.Call, q pomelo.Request, route pomelo.TrafficRoute, p pomelo.Policy) error {
	if !p.KeysRequired() || route.Open {
		return nil
	}
	if age := i.policies.Age(); age > i.maxKeyAge-keyAgeMargin {
		f := pomelo.NewFault(pomelo.KindNotAuthoritative, "this node's knowledge of keys is too old", "come back after the given time")
		f.RetryAfter = staleKeysRetryAfter
		return f
	}
	if q.KeyID == "" {
		return pomelo.NewFault(pomelo.KindNoKey, "the request carries no key", "send the client account's key")
	}
	a, ok := p.AccountByKey(q.KeyID)
	if !ok && p.IsKeyUnread(q.KeyID) {
		return unreadFault("the account of the key can't be read")
	}
	if !ok {
		return pomelo.NewFault(pomelo.KindKeyUnknown, "the key is not known", "check the key, or ask the operators for a new one")
	}
	c.Account = a.Name
	c.KeyID = q.KeyID
	c.FairShareAccount = a.Name
	c.Importance = pomelo.CombineImportance(a.Importance, route.Importance)
	return nil
}

func (i *Intake) reply(q pomelo.Request, c pomelo.Call, a pomelo.Answer, arrivedAt pomelo.Millis) pomelo.Reply {
	took := i.clock.Now() - arrivedAt
	i.metrics.Time("request."+c.Service, float64(took))
	if a.Refusal == nil {
		i.metrics.Count("answered", 1)
		if a.Status >= http.StatusInternalServerError {
			i.metrics.Count("answered_failure", 1)
		}
		if a.Status >= http.StatusInternalServerError || pomelo.IsNotRunStatus(a.Status) {
			i.log.Info("request_failed_upstream", "request", q.ID, "root", c.RootID, "route", c.RouteName, "service", c.Service, "status", a.Status, "took_ms", took)
		}
		return i.dialect.EncodeReply(q.ID, a)
	}
	f := *a.Refusal
	if f.Ran == pomelo.RanNo && f.RetryAfter == 0 && mayRetryLater(f.Kind) {
		f.RetryAfter = defaultRetryAfter
	}
	a.Refusal = &f
	r := i.dialect.EncodeReply(q.ID, a)
	i.metrics.Count("refused."+string(f.Kind), 1)
	i.log.Info("request_refused", "request", q.ID, "root", c.RootID, "route", c.RouteName, "service", c.Service, "account", c.Account, "status", r.Status, "kind", f.Kind, "reason", f.Message, "ran", f.Ran, "took_ms", took, "policy", i.policyVersion(), "policy_age_ms", i.policies.Age(), "retry_after_ms", f.RetryAfter)
	return r
}

// mayRetryLater reports whether the same request may be accepted later.
func mayRetryLater(k pomelo.Kind) bool {
	status := pomelo.HTTPStatus(k)
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

func (i *Intake) policyVersion() int64 {
	p, ok := i.policies.Policy()
	if !ok {
		return 0
	}
	return p.Version()
}
