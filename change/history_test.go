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
	operators      = 5
	operationsEach = 8
	accounts       = 2
	maxAttempts    = 4
	// maxPlantedRuns is far above the few runs that a planted fault needs to show.
	maxPlantedRuns = 100
)

// register is the state of one account's record; with revisionUnknown, the actual revision is only known to be greater than revision.
type register struct {
	rate, burst     float64
	revision        pomelo.Revision
	revisionUnknown bool
}

// mayBeAt reports whether the register may have the revision v.
func (r register) mayBeAt(v pomelo.Revision) bool {
	if r.revisionUnknown {
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

// model describes each account's record as a register with compare-and-set and with sets of single fields.
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
	operations := map[string][]porcupine.Operation{}
	for _, o := range history {
		a := o.Input.(input).account
		operations[a] = append(operations[a], o)
	}
	var out [][]porcupine.Operation
	for _, p := range operations {
		out = append(out, p)
	}
	return out
}

// step applies an operation with an unknown outcome at its return time, which is after all other operations if it never took effect.
func step(s register, i input, o output) (bool, register) {
	switch {
	case i.read && o.unknown:
		return true, s
	case i.read:
		matches := s.mayBeAt(o.state.revision) && o.state.rate == s.rate && o.state.burst == s.burst
		return matches, o.state
	case o.conflict:
		return i.expected != 0 && (s.revisionUnknown || i.expected != s.revision), s
	case o.accepted:
		matches := o.state.revision > s.revision && (i.expected == 0 || s.mayBeAt(i.expected))
		s.revision = o.state.revision
		s.revisionUnknown = false
		return matches, apply(s, i.set)
	case o.unknown:
		s.revisionUnknown = true
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

// run executes commands of concurrent operators through wrapped stores while store faults are injected and cleared, and returns the history.
func run(t testing.TB, seed uint64, wrap func(pomelo.Store) pomelo.Store) []porcupine.Operation {
	r := newRig(t)
	var sequence atomic.Int64
	var mu sync.Mutex
	var history []porcupine.Operation
	done := make(chan struct{})
	var faults, running sync.WaitGroup
	faults.Go(func() { injectFaults(r, rand.New(rand.NewPCG(seed, 0)), done) })
	for operator := range operators {
		running.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(operator)+1))
			store := wrap(kvhttp.New(r.url, kvhttp.WithTimeout(30)))
			c := change.New(store, change.WithTimeout(60))
			var lastSeen [accounts]pomelo.Revision
			for n := range operationsEach {
				index := random.IntN(accounts)
				in := randomInput(random, index, lastSeen[index])
				call := sequence.Add(1)
				result := executeInput(c, store, in, fmt.Sprint(operator, "-", n))
				end := sequence.Add(1)
				if result.unknown {
					end = math.MaxInt64
				}
				if result.state.revision != 0 {
					lastSeen[index] = result.state.revision
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: operator, Input: in, Call: call, Output: result, Return: end})
				mu.Unlock()
			}
		})
	}
	running.Wait()
	close(done)
	faults.Wait()
	return history
}

func injectFaults(r *rig, random *rand.Rand, done chan struct{}) {
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

func randomInput(random *rand.Rand, index int, lastRevision pomelo.Revision) input {
	in := input{account: fmt.Sprint("a", index)}
	switch random.IntN(4) {
	case 0:
		in.read = true
		return in
	case 1:
		in.expected = lastRevision
	}
	in.set = pomelo.SetAccount{Name: in.account, Rate: float64(1 + random.IntN(1e6)), Burst: float64(1 + random.IntN(1e6))}
	if lastRevision != 0 && random.IntN(2) == 0 {
		in.set.Rate = 0
	}
	return in
}

func executeInput(c *change.Changer, s pomelo.Store, in input, id string) output {
	if in.read {
		return readAccount(s, in)
	}
	ch := pomelo.Change{ID: id, Expected: in.expected, Command: pomelo.Command{SetAccount: &in.set}}
	for range maxAttempts {
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

func readAccount(s pomelo.Store, in input) output {
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

// unconditionalStore overwrites records at any revision, like a store without compare-and-swap.
type unconditionalStore struct{ pomelo.Store }

func (s unconditionalStore) Put(ctx context.Context, w pomelo.Write) (pomelo.Record, error) {
	for {
		r, _ := s.Store.Get(ctx, w.Key)
		w.Expected = r.Revision
		out, err := s.Store.Put(ctx, w)
		if !pomelo.IsKind(err, pomelo.KindConflict) {
			return out, err
		}
	}
}

// failureAssumingStore reports a lost response as a refusal.
type failureAssumingStore struct{ pomelo.Store }

func (s failureAssumingStore) Put(ctx context.Context, w pomelo.Write) (pomelo.Record, error) {
	r, err := s.Store.Put(ctx, w)
	if pomelo.IsKind(err, pomelo.KindStoreUnavailable) {
		return r, pomelo.NewFault(pomelo.KindBadRequest, "refused", "none")
	}
	return r, err
}

func unmodifiedStore(s pomelo.Store) pomelo.Store { return s }

func TestHistories(t *testing.T) {
	convey.Convey("The history of concurrent operators under store faults is linearizable per record", t, func() {
		kinds := map[string]int{}
		for seed := range uint64(12) {
			h := run(t, seed, unmodifiedStore)
			countOutcomes(kinds, h)
			convey.So(porcupine.CheckOperations(model(), h), convey.ShouldBeTrue)
		}
		t.Logf("outcomes: %v", kinds)
		convey.So(kinds["accepted"], convey.ShouldBeGreaterThan, 0)
	})
	planted := map[string]func(pomelo.Store) pomelo.Store{
		"a store without compare-and-swap":      func(s pomelo.Store) pomelo.Store { return unconditionalStore{s} },
		"a lost response reported as a refusal": func(s pomelo.Store) pomelo.Store { return failureAssumingStore{s} },
	}
	for name, wrap := range planted {
		convey.Convey("The linearizability check detects "+name, t, func() {
			found := false
			seed := uint64(0)
			for ; !found && seed < maxPlantedRuns; seed++ {
				found = !porcupine.CheckOperations(model(), run(t, seed, wrap))
			}
			t.Logf("%s: found after %d runs", name, seed)
			convey.So(found, convey.ShouldBeTrue)
		})
	}
}

func countOutcomes(kinds map[string]int, history []porcupine.Operation) {
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
