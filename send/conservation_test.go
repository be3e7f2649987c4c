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
	budget    = pomelo.Millis(10_000)
	callLimit = 400
	perCent   = 100
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// tree is a random call tree over real senders and ledgers; only the network and the upstreams are made up.
type tree struct {
	ledger   *ledger.Ledger
	sender   *send.Sender
	depth    int
	children int
	parallel bool
	// Percentages of attempts that end so.
	refused, unreached, lost, broken, canceled int

	mu       sync.Mutex
	random   *rand.Rand
	cancel   context.CancelFunc
	attempts int
	calls    int
}

func drawTree(t *rapid.T) *tree {
	seed := rapid.Uint64().Draw(t, "seed")
	e := &tree{
		ledger:    ledger.New(clock.New(clock.WithManual(0))),
		depth:     rapid.IntRange(1, 22).Draw(t, "depth"),
		children:  rapid.IntRange(1, 3).Draw(t, "children"),
		parallel:  rapid.Bool().Draw(t, "parallel"),
		refused:   rapid.IntRange(0, 40).Draw(t, "refused"),
		unreached: rapid.IntRange(0, 20).Draw(t, "unreached"),
		lost:      rapid.IntRange(0, 30).Draw(t, "lost"),
		broken:    rapid.IntRange(0, 30).Draw(t, "broken"),
		canceled:  rapid.IntRange(0, 2).Draw(t, "canceled"),
		random:    rand.New(rand.NewPCG(seed, seed)),
	}
	e.sender = newSender(e, e)
	return e
}

func newSender(t pomelo.Transport, local pomelo.Handler) *send.Sender {
	return send.New(clock.New(clock.WithManual(0)), everywhere{}, pick.New(clock.New(clock.WithManual(0)), 1), t, local, silent{})
}

func (e *tree) draw(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.IntN(n)
}

// call is one logical call: whatever the sender makes of it counts as attempts.
func (e *tree) call(ctx context.Context, c pomelo.Call) pomelo.Answer {
	e.mu.Lock()
	e.calls++
	e.mu.Unlock()
	return e.sender.Handle(ctx, c)
}

// Handle is not used: the tree's own node serves nothing.
func (e *tree) Handle(_ context.Context, c pomelo.Call) pomelo.Answer {
	return pomelo.Refuse(c.ID, pomelo.NewFault(pomelo.KindNoUpstream, "not here", "none"))
}

// Send is one attempt.
func (e *tree) Send(ctx context.Context, _ pomelo.Member, c pomelo.Call) pomelo.Answer {
	e.mu.Lock()
	e.attempts++
	e.mu.Unlock()
	if e.draw(perCent) < e.canceled {
		e.cancel()
	}
	n := e.draw(perCent)
	if n < e.refused {
		a := refusal(c, pomelo.KindOverload, pomelo.RanNo)
		a.RetriesLeft = c.RetriesLeft
		return a
	}
	if n -= e.refused; n < e.unreached {
		return refusal(c, pomelo.KindPeerLost, pomelo.RanNo)
	}
	a := e.run(ctx, c)
	if n -= e.unreached; n < e.lost {
		return refusal(c, pomelo.KindPeerLost, pomelo.RanUnknown)
	}
	if e.draw(perCent) < e.broken {
		a.Refusal = refusal(c, pomelo.KindUpstreamFailed, pomelo.RanYes).Refusal
	}
	return a
}

// run is what a serving node and its upstream do with a call.
func (e *tree) run(ctx context.Context, c pomelo.Call) pomelo.Answer {
	c.Deadline = budget
	_, token := e.ledger.Open(ctx, c)
	if c.Depth < e.depth {
		e.descend(token)
	}
	return pomelo.Answer{CallID: c.ID, RetriesLeft: e.ledger.Close(token).RetriesLeft}
}

func (e *tree) descend(token string) {
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

func (e *tree) subCall(token string) {
	if e.draw(e.children) != 0 && e.full() {
		return
	}
	ctx, c, err := e.ledger.BeginSubCall(token, pomelo.Call{Service: "any"})
	if err != nil {
		return
	}
	e.ledger.FinishSubCall(token, e.call(ctx, c))
}

func (e *tree) full() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls > callLimit
}

func refusal(c pomelo.Call, k pomelo.Kind, ran pomelo.Ran) pomelo.Answer {
	f := pomelo.NewFault(k, "made up", "none")
	f.Ran = ran
	return pomelo.Refuse(c.ID, f)
}

func TestRetriesAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawTree(t)
		retries := rapid.IntRange(0, 5).Draw(t, "retries")
		var ctx context.Context
		ctx, e.cancel = context.WithCancel(context.Background())
		defer e.cancel()
		a := e.call(ctx, pomelo.Call{ID: "root", RootID: "root", Service: "any", Deadline: budget, RetriesLeft: retries})
		spent := e.attempts - e.calls
		if spent > retries {
			t.Fatalf("%d attempts of %d calls with %d retries", e.attempts, e.calls, retries)
		}
		if spent > 0 && a.RetriesLeft > retries-spent {
			t.Fatalf("%d retries left of %d after %d were spent", a.RetriesLeft, retries, spent)
		}
	})
}

// everywhere is a membership of many nodes that serve every service.
type everywhere struct{}

// Self serves nothing.
func (everywhere) Self() pomelo.Member { return pomelo.Member{VM: "self"} }

// Serving names more members than there are retries.
func (everywhere) Serving(string) []pomelo.Member {
	return []pomelo.Member{{VM: "a"}, {VM: "b"}, {VM: "c"}, {VM: "d"}, {VM: "e"}, {VM: "f"}, {VM: "g"}}
}

// All names none.
func (everywhere) All() []pomelo.Member { return nil }

// ByFingerprint finds none.
func (everywhere) ByFingerprint(string) (pomelo.Member, bool) { return pomelo.Member{}, false }

// silent drops what is measured.
type silent struct{}

// Count drops n.
func (silent) Count(string, int64) {}

// Time drops the time.
func (silent) Time(string, float64) {}

// Gauge drops the value.
func (silent) Gauge(string, float64) {}
