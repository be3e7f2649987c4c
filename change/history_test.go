package change_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/change"
	"github.com/pomeloworks/pomelo/kvhttp"
	"github.com/smartystreets/goconvey/convey"
)

const (
	operators     = 5
	operationEach = 8
	accounts      = 2
	repeats       = 4
	// plantedRuns is far above the few runs that show a planted fault.
	plantedRuns = 100
)

// register is the state of one account's record; unseen means that its revision is only known to be above the one given.
type register struct {
	rate, burst float64
	revision    pomelo.Revision
	unseen      bool
}

// is reports whether the register may be at the revision.
func (r register) is(v pomelo.Revision) bool {
	if r.unseen {
		return v > r.revision
	}
	return v == r.revision
}

type input struct {
	account  string
	read     bool
	set      pomelo.SetAccount
	expected pomelo.Revision
}

type output struct {
	state    register
	accepted bool
	conflict bool
	unknown  bool
}

// model holds each account's record to be a register with compare-and-set and field-wise sets.
func model() porcupine.Model {
	return porcupine.Model{
		Partition: byAccount,
		Init:      func() any { return register{} },
		Step:      func(s, i, o any) (bool, any) { return step(s.(register), i.(input), o.(output)) },
		DescribeOperation: func(i, o any) string {
			return fmt.Sprintf("%+v -> %+v", i, o)
		},
	}
}

func byAccount(history []porcupine.Operation) [][]porcupine.Operation {
	parts := map[string][]porcupine.Operation{}
	for _, o := range history {
		a := o.Input.(input).account
		parts[a] = append(parts[a], o)
	}
	var out [][]porcupine.Operation
	for _, p := range parts {
		out = append(out, p)
	}
	return out
}

// step lets an unknown outcome take effect at its end, which is after everything else if it never did.
func step(s register, i input, o output) (bool, register) {
	switch {
	case i.read && o.unknown:
		return true, s
	case i.read:
		fits := s.is(o.state.revision) && o.state.rate == s.rate && o.state.burst == s.burst
		return fits, o.state
	case o.conflict:
		return i.expected != 0 && (s.unseen || i.expected != s.revision), s
	case o.accepted:
		fits := o.state.revision > s.revision && (i.expected == 0 || s.is(i.expected))
		s.revision = o.state.revision
		s.unseen = false
		return fits, apply(s, i.set)
	case o.unknown:
		s.unseen = true
		return true, apply(s, i.set)
	}
	return true, s
}

func apply(s register, a pomelo.SetAccount) register {
	if a.Rate != 0 {
		s.rate = a.Rate
	}
	if a.Burst != 0 {
		s.burst = a.Burst
	}
	return s
}

// run lets operators race through stores made by wrap while faults come and go, and returns the history.
func run(t testing.TB, seed uint64, wrap func(pomelo.Store) pomelo.Store) []porcupine.Operation {
	r := newRig(t)
	var now atomic.Int64
	var mu sync.Mutex
	var history []porcupine.Operation
	done := make(chan struct{})
	var faults, racers sync.WaitGroup
	faults.Go(func() { disturb(r, rand.New(rand.NewPCG(seed, 0)), done) })
	for o := range operators {
		racers.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(o)+1))
			store := wrap(kvhttp.New(r.url, kvhttp.WithTimeout(30)))
			c := change.New(store, change.WithPatience(60))
			var seen [accounts]pomelo.Revision
			for n := range operationEach {
				at := random.IntN(accounts)
				in := draw(random, at, seen[at])
				call := now.Add(1)
				out := carry(c, store, in, fmt.Sprint(o, "-", n))
				end := now.Add(1)
				if out.unknown {
					end = math.MaxInt64
				}
				if out.state.revision != 0 {
					seen[at] = out.state.revision
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: o, Input: in, Call: call, Output: out, Return: end})
				mu.Unlock()
			}
		})
	}
	racers.Wait()
	close(done)
	faults.Wait()
	return history
}

func disturb(r *rig, random *rand.Rand, done chan struct{}) {
	faults := []pomelo.StoreFault{{}, {}, {DropResponses: 2}, {Down: true}, {Delay: 40}, {DropResponses: 1}}
	for {
		select {
		case <-done:
			return
		default:
		}
		r.server.SetFault(faults[random.IntN(len(faults))])
		_, _ = r.store.Get(context.Background(), "pause")
		for range 5 {
			_, _ = r.store.Get(context.Background(), "pause")
		}
	}
}

func draw(random *rand.Rand, at int, seen pomelo.Revision) input {
	in := input{account: fmt.Sprint("a", at)}
	switch random.IntN(4) {
	case 0:
		in.read = true
		return in
	case 1:
		in.expected = seen
	}
	in.set = pomelo.SetAccount{Name: in.account, Rate: float64(1 + random.IntN(1e6)), Burst: float64(1 + random.IntN(1e6))}
	if seen != 0 && random.IntN(2) == 0 {
		in.set.Rate = 0
	}
	return in
}

func carry(c *change.Changer, s pomelo.Store, in input, id string) output {
	if in.read {
		return look(s, in)
	}
	ch := pomelo.Change{ID: id, Expected: in.expected, Command: pomelo.Command{SetAccount: &in.set}}
	for range repeats {
		r, err := c.Execute(context.Background(), ch)
		switch {
		case err == nil:
			return output{accepted: true, state: register{revision: r.Revision}}
		case pomelo.IsKind(err, pomelo.KindConflict):
			return output{conflict: true}
		case !pomelo.IsKind(err, pomelo.KindInDoubt):
			return output{}
		}
		ch.Repeat = true
	}
	return output{unknown: true}
}

func look(s pomelo.Store, in input) output {
	e, err := s.Get(context.Background(), pomelo.PrefixAccount+in.account)
	if pomelo.IsKind(err, pomelo.KindNotFound) {
		return output{}
	}
	if err != nil {
		return output{unknown: true}
	}
	var a pomelo.ClientAccount
	if err := json.Unmarshal(e.Value, &a); err != nil {
		return output{}
	}
	return output{state: register{rate: a.Rate, burst: a.Burst, revision: e.Revision}}
}

// blind writes over whatever is there, as if there were no compare-and-swap.
type blind struct{ pomelo.Store }

func (b blind) Put(ctx context.Context, w pomelo.Write) (pomelo.Record, error) {
	for {
		r, _ := b.Store.Get(ctx, w.Key)
		w.Expected = r.Revision
		out, err := b.Store.Put(ctx, w)
		if !pomelo.IsKind(err, pomelo.KindConflict) {
			return out, err
		}
	}
}

// sure takes a lost answer for a refusal.
type sure struct{ pomelo.Store }

func (s sure) Put(ctx context.Context, w pomelo.Write) (pomelo.Record, error) {
	r, err := s.Store.Put(ctx, w)
	if pomelo.IsKind(err, pomelo.KindStoreUnavailable) {
		return r, pomelo.NewFault(pomelo.KindBadRequest, "refused", "none")
	}
	return r, err
}

func honest(s pomelo.Store) pomelo.Store { return s }

func TestHistories(t *testing.T) {
	convey.Convey("Racing operators under faults see one register per record", t, func() {
		kinds := map[string]int{}
		for seed := range uint64(12) {
			h := run(t, seed, honest)
			count(kinds, h)
			convey.So(porcupine.CheckOperations(model(), h), convey.ShouldBeTrue)
		}
		t.Logf("outcomes: %v", kinds)
		convey.So(kinds["accepted"], convey.ShouldBeGreaterThan, 0)
	})
	planted := map[string]func(pomelo.Store) pomelo.Store{
		"a store without compare-and-swap": func(s pomelo.Store) pomelo.Store { return blind{s} },
		"a lost answer taken for refusal":  func(s pomelo.Store) pomelo.Store { return sure{s} },
	}
	for name, wrap := range planted {
		convey.Convey("The check finds "+name, t, func() {
			found := false
			seed := uint64(0)
			for ; !found && seed < plantedRuns; seed++ {
				found = !porcupine.CheckOperations(model(), run(t, seed, wrap))
			}
			t.Logf("%s: found after %d runs", name, seed)
			convey.So(found, convey.ShouldBeTrue)
		})
	}
}

func count(kinds map[string]int, history []porcupine.Operation) {
	for _, o := range history {
		out := o.Output.(output)
		switch {
		case o.Input.(input).read:
			kinds["read"]++
		case out.accepted:
			kinds["accepted"]++
		case out.conflict:
			kinds["conflict"]++
		case out.unknown:
			kinds["unknown"]++
		default:
			kinds["refused"]++
		}
	}
}
