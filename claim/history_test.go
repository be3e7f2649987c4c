package claim_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/claim"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/smartystreets/goconvey/convey"
)

var historySeeds = flag.Int("claim_seeds", 20, "how many seeds TestClaimHistories runs")

const (
	historyKeys       = 60
	historyMaxSkew    = pomelo.Millis(30)
	historyRetention  = pomelo.Millis(60_000)
	changesPerRun     = 5
	maxCallsPerKey    = 4
	historyAnswerTime = 20 * time.Millisecond
)

// failoverSim is a service whose single owner of all keys changes, with or without a handover, while callers repeat calls through any node.
type failoverSim struct {
	*cluster
	random  sync.Mutex
	source  *rand.Rand
	now     *clock.Clock
	seedBug bool
}

func newFailoverSim(seed uint64, seedBug bool) *failoverSim {
	s := &failoverSim{source: rand.New(rand.NewPCG(seed, 0)), now: clock.New(), seedBug: seedBug}
	s.cluster = &cluster{clock: s.now, owner: "a", tables: map[string]*claim.Table{}, runs: map[string]int{}, draining: map[string]bool{}, process: map[string]int{}, unresponsive: map[string]bool{}}
	s.cluster.ownedSince = s.now.Now()
	s.cluster.answer = func(c pomelo.Call) pomelo.Answer {
		time.Sleep(time.Duration(s.randomInt(int(historyAnswerTime))))
		return pomelo.Answer{CallID: c.ID, Status: http.StatusOK, Body: []byte(uuid.NewString())}
	}
	for _, vm := range []string{"a", "b", "c"} {
		s.start(vm)
	}
	return s
}

// start creates the claim table of the VM's current process; it is empty.
func (s *failoverSim) start(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := simView{nodeView: nodeView{cluster: s.cluster, vm: vm, process: s.process[vm]}, sim: s}
	s.tables[vm] = claim.New(s.now, v, v, s, v, v, claim.WithRetention(historyRetention, historyMaxSkew), claim.WithPeers(s))
}

// simView is a nodeView with an optional seeded bug: OwnedSince reports that the node has owned every resource from the start.
type simView struct {
	nodeView
	sim *failoverSim
}

func (v simView) OwnedSince(resource string) pomelo.Millis {
	if v.sim.seedBug {
		return 0
	}
	return v.nodeView.OwnedSince(resource)
}

func (s *failoverSim) randomInt(n int) int {
	s.random.Lock()
	defer s.random.Unlock()
	return s.source.IntN(n)
}

// Send drops some calls before they run and some answers after the call ran; its refusals state correctly whether the call ran.
func (s *failoverSim) Send(ctx context.Context, m pomelo.Member, c pomelo.Call) pomelo.Answer {
	switch s.randomInt(8) {
	case 0:
		return pomelo.Refuse(c.ID, pomelo.NewFault(pomelo.KindPeerLost, "lost on the way", ""))
	case 1:
		s.cluster.Send(ctx, m, c)
		f := pomelo.NewFault(pomelo.KindInDoubt, "answer lost", "")
		f.Ran = pomelo.RanUnknown
		return pomelo.Refuse(c.ID, f)
	}
	return s.cluster.Send(ctx, m, c)
}

// keyHistory records every answer that callers got for one key.
type keyHistory struct {
	key     string
	answers []pomelo.Answer
}

func (s *failoverSim) runCaller(k *keyHistory) {
	for range 1 + s.randomInt(maxCallsPerKey) {
		vm := []string{"a", "b", "c"}[s.randomInt(3)]
		c := pomelo.Call{ID: "o", Account: "growers", Service: "shop", Method: http.MethodPost, Path: "/orders", IdempotencyKey: k.key, Body: []byte(k.key), Deadline: s.now.Now() + 500}
		ctx, cancel := context.WithCancel(context.Background())
		if s.randomInt(4) == 0 {
			time.AfterFunc(time.Duration(s.randomInt(int(historyAnswerTime))), cancel)
		}
		k.answers = append(k.answers, s.table(vm).CallerHandler(nil).Handle(ctx, c))
		cancel()
		time.Sleep(time.Duration(s.randomInt(int(4 * historyAnswerTime))))
	}
}

func (s *failoverSim) run() []*keyHistory {
	var keys []*keyHistory
	var callers sync.WaitGroup
	callers.Go(s.changeOwners)
	for range historyKeys {
		k := &keyHistory{key: uuid.Must(uuid.NewV7()).String()}
		keys = append(keys, k)
		callers.Go(func() { s.runCaller(k) })
		time.Sleep(5 * time.Millisecond)
	}
	callers.Wait()
	time.Sleep(2 * historyAnswerTime)
	return keys
}

func (s *failoverSim) changeOwners() {
	for range changesPerRun {
		time.Sleep(time.Duration(s.randomInt(int(80 * time.Millisecond))))
		s.mu.Lock()
		previous, since := s.owner, s.ownedSince
		s.mu.Unlock()
		owner := []string{"a", "b", "c"}[s.randomInt(3)]
		if owner == previous {
			continue
		}
		s.mu.Lock()
		s.unresponsive = map[string]bool{previous: s.randomInt(3) == 0}
		s.mu.Unlock()
		s.changeOwner(owner)
		if s.randomInt(2) == 0 {
			continue
		}
		// Calls that still run are handed over as in doubt. A process that handed over its claims does not return, so the VM starts a new one.
		_ = s.table(previous).HandOver(context.Background(), s, since)
		s.mu.Lock()
		s.process[previous]++
		s.mu.Unlock()
		s.start(previous)
	}
}

// checkHistory returns a description of the violation if the answers for a key contradict the number of runs, and an empty string if they agree.
func checkHistory(k *keyHistory, runs int) string {
	if runs > 1 {
		return fmt.Sprint(k.key, " ran ", runs, " times")
	}
	body, mayHaveRun := "", false
	for _, a := range k.answers {
		if a.Refusal != nil {
			mayHaveRun = mayHaveRun || a.Refusal.Ran != pomelo.RanNo
			continue
		}
		mayHaveRun = true
		if runs == 0 || body != "" && body != string(a.Body) {
			return k.key + " got an answer without a run, or two different answers"
		}
		body = string(a.Body)
	}
	if runs > 0 && !mayHaveRun {
		return k.key + " ran, but every answer said that it did not"
	}
	return ""
}

func runHistories(n int, seedBug bool) (violations []string, tally map[string]int) {
	var mu sync.Mutex
	var runs sync.WaitGroup
	tally = map[string]int{}
	for i := range n {
		runs.Go(func() {
			s := newFailoverSim(uint64(i+1), seedBug)
			keys := s.run()
			mu.Lock()
			defer mu.Unlock()
			for _, k := range keys {
				if violation := checkHistory(k, s.runsOf(k.key)); violation != "" {
					violations = append(violations, violation)
				}
				for _, a := range k.answers {
					tally[outcomeName(a)]++
				}
			}
		})
	}
	runs.Wait()
	return violations, tally
}

func outcomeName(a pomelo.Answer) string {
	if a.Refusal == nil {
		return "complete"
	}
	return string(a.Refusal.Kind) + "_" + string(a.Refusal.Ran)
}

func TestClaimHistories(t *testing.T) {
	convey.Convey("No key runs twice or gets two different answers, through changes of owner, lost answers and repeated calls", t, func() {
		violations, tally := runHistories(*historySeeds, false)
		t.Logf("%d seeds: %v", *historySeeds, tally)
		convey.So(violations, convey.ShouldBeEmpty)
		convey.So(tally["complete"], convey.ShouldBeGreaterThan, 0)
	})
	convey.Convey("The checker detects an owner that behaves as if it were the first owner", t, func() {
		violations, _ := runHistories(5, true)
		t.Logf("%d violations found", len(violations))
		convey.So(violations, convey.ShouldNotBeEmpty)
	})
}
