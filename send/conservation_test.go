package send_test

import (
	"context"
	"flag"
	"math/rand/v2"
	"os"
	"sync"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/ledger"
	"github.com/pomeloworks/pomelo/pick"
	"github.com/pomeloworks/pomelo/send"
	"pgregory.net/rapid"
)

const (
	timeout   = pomelo.Millis(10_000)
	callLimit = 400
	percent   = 100
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// callTree is a random call tree over real senders and ledgers; the network and the upstreams are simulated.
type callTree struct {
	ledger   *ledger.Ledger
	sender   *send.Sender
	depth    int
	children int
	parallel bool
	// Percentages of attempts with each outcome.
	refused, unreachable, lost, failed, canceled int

	mu       sync.Mutex
	random   *rand.Rand
	cancel   context.CancelFunc
	attempts int
	calls    int
}

func drawCallTree(t *rapid.T) *callTree {
	seed := rapid.Uint64().Draw(t, "seed")
	e := &callTree{
		ledger:      ledger.New(clock.New(clock.WithManual(0))),
		depth:       rapid.IntRange(1, 22).Draw(t, "depth"),
		children:    rapid.IntRange(1, 3).Draw(t, "children"),
		parallel:    rapid.Bool().Draw(t, "parallel"),
		refused:     rapid.IntRange(0, 40).Draw(t, "refused"),
		unreachable: rapid.IntRange(0, 20).Draw(t, "unreachable"),
		lost:        rapid.IntRange(0, 30).Draw(t, "lost"),
		failed:      rapid.IntRange(0, 30).Draw(t, "failed"),
		canceled:    rapid.IntRange(0, 2).Draw(t, "canceled"),
		random:      rand.New(rand.NewPCG(seed, seed)),
	}
	e.sender = newSender(e, e)
	return e
}

func newSender(t pomelo.Transport, local pomelo.Handler) *send.Sender {
	return send.New(clock.New(clock.WithManual(0)), fullMembership{}, pick.New(clock.New(clock.WithManual(0)), 1), t, local, noMetrics{})
}

func (e *callTree) randIntN(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.IntN(n)
}

// call makes one logical call, of which the sender may make several attempts.
func (e *callTree) call(ctx context.Context, c pomelo.Call) pomelo.Answer {
	e.mu.Lock()
	e.calls++
	e.mu.Unlock()
	return e.sender.Handle(ctx, c)
}

// Handle refuses, since the calling node serves nothing.
func (e *callTree) Handle(_ context.Context, c pomelo.Call) pomelo.Answer {
	return pomelo.Refuse(c.ID, pomelo.NewFault(pomelo.KindNoUpstream, "not here", "none"))
}

// Send simulates one attempt.
func (e *callTree) Send(ctx context.Context, _ pomelo.Member, c pomelo.Call) pomelo.Answer {
	e.mu.Lock()
	e.attempts++
	e.mu.Unlock()
	if e.randIntN(percent) < e.canceled {
		e.cancel()
	}
	n := e.randIntN(percent)
	if n < e.refused {
		a := refusal(c, pomelo.KindOverload, pomelo.RanNo)
		a.RetriesLeft = c.RetriesLeft
		return a
	}
	if n -= e.refused; n < e.unreachable {
		return refusal(c, pomelo.KindPeerLost, pomelo.RanNo)
	}
	a := e.run(ctx, c)
	if n -= e.unreachable; n < e.lost {
		return refusal(c, pomelo.KindPeerLost, pomelo.RanUnknown)
	}
	if e.randIntN(percent) < e.failed {
		a.Refusal = refusal(c, pomelo.KindUpstreamFailed, pomelo.RanYes).Refusal
	}
	return a
}

// run simulates a serving node whose upstream runs the call.
func (e *callTree) run(ctx context.Context, c pomelo.Call) pomelo.Answer {
	c.Deadline = timeout
	_, token := e.ledger.Open(ctx, c)
	if c.Depth < e.depth {
		e.makeSubCalls(token)
	}
	return pomelo.Answer{CallID: c.ID, RetriesLeft: e.ledger.Close(token).RetriesLeft}
}

func (e *callTree) makeSubCalls(token string) {
	var running sync.WaitGroup
	for range e.children {
		if !e.parallel {
			e.subCall(token)
			continue
		}
		running.Go(func() { e.subCall(token) })
	}
	running.Wait()
}

func (e *callTree) subCall(token string) {
	if e.randIntN(e.children) != 0 && e.atCallLimit() {
		return
	}
	ctx, c, err := e.ledger.BeginSubCall(token, pomelo.Call{Service: "any"})
	if err != nil {
		return
	}
	e.ledger.FinishSubCall(token, e.call(ctx, c))
}

func (e *callTree) atCallLimit() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls > callLimit
}

func refusal(c pomelo.Call, k pomelo.Kind, ran pomelo.Ran) pomelo.Answer {
	f := pomelo.NewFault(k, "simulated", "none")
	f.Ran = ran
	return pomelo.Refuse(c.ID, f)
}

func TestRetriesAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawCallTree(t)
		retries := rapid.IntRange(0, 5).Draw(t, "retries")
		var ctx context.Context
		ctx, e.cancel = context.WithCancel(context.Background())
		defer e.cancel()
		a := e.call(ctx, pomelo.Call{ID: "root", RootID: "root", Service: "any", Deadline: timeout, RetriesLeft: retries})
		spent := e.attempts - e.calls
		if spent > retries {
			t.Fatalf("%d attempts of %d calls with %d retries", e.attempts, e.calls, retries)
		}
		if spent > 0 && a.RetriesLeft > retries-spent {
			t.Fatalf("%d retries left of %d after %d were spent", a.RetriesLeft, retries, spent)
		}
	})
}

// fullMembership is a membership of many nodes that all serve every service.
type fullMembership struct{}

// Self returns a member that serves nothing.
func (fullMembership) Self() pomelo.Member { return pomelo.Member{VM: "self"} }

// Serving returns more members than a call has retries.
func (fullMembership) Serving(string) []pomelo.Member {
	return []pomelo.Member{{VM: "a"}, {VM: "b"}, {VM: "c"}, {VM: "d"}, {VM: "e"}, {VM: "f"}, {VM: "g"}}
}

// All returns none.
func (fullMembership) All() []pomelo.Member { return nil }

// ByFingerprint finds none.
func (fullMembership) ByFingerprint(string) (pomelo.Member, bool) { return pomelo.Member{}, false }

// noMetrics discards all metrics.
type noMetrics struct{}

// Count discards n.
func (noMetrics) Count(string, int64) {}

// Time discards the time.
func (noMetrics) Time(string, float64) {}

// Gauge discards the value.
func (noMetrics) Gauge(string, float64) {}
