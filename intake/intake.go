package intake

import (
	"context"
	"net/http"
	"strings"

	"github.com/pomeloworks/pomelo"
)

// Times in milliseconds.
const (
	// keyMargin is taken off the bound on withdrawn keys for clocks that drift.
	keyMargin = pomelo.Millis(200)
	// unreadyReturn is when a node that knows no policy yet may know one.
	unreadyReturn = pomelo.Millis(500)
	// staleReturn is when the store may be back for a node whose knowledge of keys is too old.
	staleReturn = pomelo.Millis(1_000)
	// defaultReturn is for refusals that name no time: about that in which a change of members is known everywhere.
	defaultReturn = pomelo.Millis(300)
	// defaultPatience is for callers that don't say how long they wait.
	defaultPatience = pomelo.Millis(10_000)
)

// Intake makes calls of callers' requests.
type Intake struct {
	clock     pomelo.Clock
	dialect   pomelo.Dialect
	knowledge pomelo.PolicySource
	rates     pomelo.RateLimiter
	entry     pomelo.Handler
	next      pomelo.Handler
	parents   Parents
	metrics   pomelo.Metrics
	log       pomelo.Logger
	service   string
	keyAge    pomelo.Millis
	split     split
}

// New returns an intake for the VM of this service that hands fresh requests to entry and sub-calls to next; keyAge is how old, in milliseconds, knowledge of keys may be.
func New(clock pomelo.Clock, dialect pomelo.Dialect, knowledge pomelo.PolicySource, rates pomelo.RateLimiter, entry, next pomelo.Handler, parents Parents, metrics pomelo.Metrics, log pomelo.Logger, service string, keyAge pomelo.Millis, opts ...func(*Intake)) *Intake {
	i := &Intake{
		clock:     clock,
		dialect:   dialect,
		knowledge: knowledge,
		rates:     rates,
		entry:     entry,
		next:      next,
		parents:   parents,
		metrics:   metrics,
		log:       log,
		service:   service,
		keyAge:    keyAge,
		split:     split{credit: map[string][]int{}},
	}
	for _, o := range opts {
		o(i)
	}
	return i
}

// Parents finds the running call that a sub-call serves, and takes note of what the sub-call met.
type Parents interface {
	Parent(id string) (pomelo.Call, bool)
	Visited(id string, visits []pomelo.SubtreeCalls)
}

// Handle answers one request.
func (i *Intake) Handle(ctx context.Context, r *http.Request, body []byte) pomelo.Reply {
	arrived := i.clock.Now()
	q, err := i.dialect.DecodeRequest(r, body)
	if err != nil {
		return i.reply(q, pomelo.Call{ID: q.ID}, pomelo.Refuse(q.ID, pomelo.FaultOf(err)), arrived)
	}
	c, err := i.accept(ctx, q, arrived)
	if err != nil {
		return i.reply(q, c, pomelo.Refuse(q.ID, pomelo.FaultOf(err)), arrived)
	}
	a := i.handle(ctx, c)
	if c.Account != "" && a.Refusal != nil && a.Refusal.Ran == pomelo.RanNo {
		i.rates.Refund(c.Account)
	}
	return i.reply(q, c, a, arrived)
}

func (i *Intake) handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	if c.Depth == 0 {
		return i.entry.Handle(ctx, c)
	}
	a := i.next.Handle(ctx, c)
	i.parents.Visited(c.ParentID, a.SubtreeCalls)
	if a.Refusal != nil && a.Refusal.Kind == pomelo.KindOverload {
		i.parents.Visited(c.ParentID, []pomelo.SubtreeCalls{{Service: c.Service, Refused: 1}})
	}
	return a
}

// accept checks the request; an error is a *pomelo.Fault and nothing has been sent.
func (i *Intake) accept(ctx context.Context, q pomelo.Request, arrived pomelo.Millis) (pomelo.Call, error) {
	c := pomelo.Call{ID: q.ID, RootID: q.ID}
	p, ok := i.knowledge.Policy()
	if !ok {
		f := pomelo.NewFault(pomelo.KindNotAuthoritative, "this node knows no policy yet", "come back after the given time")
		f.RetryAfter = unreadyReturn
		return c, f
	}
	route, ok := p.Match(q.Host, q.Path)
	if !ok {
		return c, pomelo.NewFault(pomelo.KindNoRoute, "no route matches the host and path", "check them, or ask the operators to add a route")
	}
	c = i.describe(c, q, route, arrived)
	if err := i.authenticate(&c, q, route, p); err != nil {
		return c, err
	}
	if c.Account == "" {
		return c, nil
	}
	return c, i.rates.Admit(ctx, c.Account)
}

func (i *Intake) describe(c pomelo.Call, q pomelo.Request, route pomelo.TrafficRoute, arrived pomelo.Millis) pomelo.Call {
	c.RouteName = route.Name
	c.Service = i.split.next(route)
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
	patience := q.CallerTimeout
	if patience <= 0 {
		patience = defaultPatience
	}
	c.Deadline = arrived + min(patience, route.Timeout)
	return i.adopt(c)
}

// adopt ranks a sub-call like the call that it serves; the link is a hint that nothing but the order of waiting rests on.
func (i *Intake) adopt(c pomelo.Call) pomelo.Call {
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

// authenticate finds the account of the key, if the route asks for one.
func (i *Intake) authenticate(c *pomelo.Call, q pomelo.Request, route pomelo.TrafficRoute, p pomelo.Policy) error {
	if !p.HasAccounts() || route.Open {
		return nil
	}
	if age := i.knowledge.Age(); age > i.keyAge-keyMargin {
		f := pomelo.NewFault(pomelo.KindNotAuthoritative, "this node's knowledge of keys is too old", "come back after the given time")
		f.RetryAfter = staleReturn
		return f
	}
	if q.KeyID == "" {
		return pomelo.NewFault(pomelo.KindNoKey, "the request carries no key", "send the client account's key")
	}
	a, ok := p.AccountByKey(q.KeyID)
	if !ok {
		return pomelo.NewFault(pomelo.KindKeyUnknown, "the key is not known", "check the key, or ask the operators for a new one")
	}
	c.Account = a.Name
	c.KeyID = q.KeyID
	c.FairShareAccount = a.Name
	c.Importance = pomelo.CombineImportance(a.Importance, route.Importance)
	return nil
}

func (i *Intake) reply(q pomelo.Request, c pomelo.Call, a pomelo.Answer, arrived pomelo.Millis) pomelo.Reply {
	took := i.clock.Now() - arrived
	i.metrics.Time("request."+c.Service, float64(took))
	if a.Refusal == nil {
		i.metrics.Count("answered", 1)
		if a.Status >= http.StatusInternalServerError {
			i.metrics.Count("answered_failure", 1)
			i.log.Info("request_failed_upstream", "request", q.ID, "root", c.RootID, "route", c.RouteName, "service", c.Service, "status", a.Status, "took_ms", took)
		}
		return i.dialect.EncodeReply(q.ID, a)
	}
	f := *a.Refusal
	if f.Ran == pomelo.RanNo && f.RetryAfter == 0 && mayReturn(f.Kind) {
		f.RetryAfter = defaultReturn
	}
	a.Refusal = &f
	r := i.dialect.EncodeReply(q.ID, a)
	i.metrics.Count("refused."+string(f.Kind), 1)
	i.log.Info("request_refused", "request", q.ID, "root", c.RootID, "route", c.RouteName, "service", c.Service, "account", c.Account, "status", r.Status, "kind", f.Kind, "reason", f.Message, "ran", f.Ran, "took_ms", took, "policy", i.version(), "policy_age_ms", i.knowledge.Age(), "retry_after_ms", f.RetryAfter)
	return r
}

// mayReturn reports whether the same request may be accepted later.
func mayReturn(k pomelo.Kind) bool {
	status := pomelo.HTTPStatus(k)
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

func (i *Intake) version() int64 {
	p, ok := i.knowledge.Policy()
	if !ok {
		return 0
	}
	return p.Version()
}
