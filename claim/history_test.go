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
	historyKeys    = 60
	historySkew    = pomelo.Millis(30)
	historyLife    = pomelo.Millis(60_000)
	changesPerRun  = 5
	repeatsAtMost  = 4
	historyAnswers = 20 * time.Millisecond
)

// system is a service of which the owner of all keys changes, planned or not, while callers repeat through any node.
type system struct {
	*world
	random sync.Mutex
	source *rand.Rand
	now    *clock.Clock
	plant  bool
}

func newSystem(seed uint64, plant bool) *system {
	s := &system{source: rand.New(rand.NewPCG(seed, 0)), now: clock.New(), plant: plant}
	s.world = &world{clock: s.now, owner: "a", books: map[string]*claim.Book{}, runs: map[string]int{}, gone: map[string]bool{}, process: map[string]int{}, silent: map[string]bool{}}
	s.world.since = s.now.Now()
	s.world.answer = func(c pomelo.Call) pomelo.Answer {
		time.Sleep(time.Duration(s.pick(int(historyAnswers))))
		return pomelo.Answer{CallID: c.ID, Status: http.StatusOK, Body: []byte(uuid.NewString())}
	}
	for _, vm := range []string{"a", "b", "c"} {
		s.start(vm)
	}
	return s
}

// start begins the VM's present process, which knows no claims.
func (s *system) start(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := systemView{view: view{world: s.world, vm: vm, process: s.process[vm]}, system: s}
	s.books[vm] = claim.New(s.now, v, v, s, v, v, claim.WithTimes(historyLife, historySkew), claim.WithPeers(s))
}

// systemView is a view whose Since can be planted to know of no owner before.
type systemView struct {
	view
	system *system
}

func (v systemView) OwnedSince(right string) pomelo.Millis {
	if v.system.plant {
		return 0
	}
	return v.view.OwnedSince(right)
}

func (s *system) pick(n int) int {
	s.random.Lock()
	defer s.random.Unlock()
	return s.source.IntN(n)
}

// Send loses some calls before and some answers after their effect, and says so truthfully.
func (s *system) Send(ctx context.Context, m pomelo.Member, c pomelo.Call) pomelo.Answer {
	switch s.pick(8) {
	case 0:
		return pomelo.Refuse(c.ID, pomelo.NewFault(pomelo.KindPeerLost, "lost on the way", ""))
	case 1:
		s.world.Send(ctx, m, c)
		f := pomelo.NewFault(pomelo.KindInDoubt, "answer lost", "")
		f.Ran = pomelo.RanUnknown
		return pomelo.Refuse(c.ID, f)
	}
	return s.world.Send(ctx, m, c)
}

// keyed is all that callers were told about one key.
type keyed struct {
	key     string
	answers []pomelo.Answer
}

func (s *system) caller(k *keyed) {
	for range 1 + s.pick(repeatsAtMost) {
		vm := []string{"a", "b", "c"}[s.pick(3)]
		c := pomelo.Call{ID: "o", Account: "growers", Service: "shop", Method: http.MethodPost, Path: "/orders", IdempotencyKey: k.key, Body: []byte(k.key), Deadline: s.now.Now() + 500}
		ctx, cancel := context.WithCancel(context.Background())
		if s.pick(4) == 0 {
			time.AfterFunc(time.Duration(s.pick(int(historyAnswers))), cancel)
		}
		k.answers = append(k.answers, s.book(vm).Entered(nil).Handle(ctx, c))
		cancel()
		time.Sleep(time.Duration(s.pick(int(4 * historyAnswers))))
	}
}

func (s *system) run() []*keyed {
	var keys []*keyed
	var callers sync.WaitGroup
	callers.Go(s.changes)
	for range historyKeys {
		k := &keyed{key: uuid.Must(uuid.NewV7()).String()}
		keys = append(keys, k)
		callers.Go(func() { s.caller(k) })
		time.Sleep(5 * time.Millisecond)
	}
	callers.Wait()
	time.Sleep(2 * historyAnswers)
	return keys
}

func (s *system) changes() {
	for range changesPerRun {
		time.Sleep(time.Duration(s.pick(int(80 * time.Millisecond))))
		s.mu.Lock()
		old, since := s.owner, s.since
		s.mu.Unlock()
		next := []string{"a", "b", "c"}[s.pick(3)]
		if next == old {
			continue
		}
		s.mu.Lock()
		s.silent = map[string]bool{old: s.pick(3) == 0}
		s.mu.Unlock()
		s.change(next)
		if s.pick(2) == 0 {
			continue
		}
		// Claims that still run are handed over as in doubt; a process that has left does not come back.
		_ = s.book(old).Leave(context.Background(), s, since)
		s.mu.Lock()
		s.process[old]++
		s.mu.Unlock()
		s.start(old)
	}
}

// judge compares what was said of a key with what ran.
func judge(k *keyed, runs int) string {
	if runs > 1 {
		return fmt.Sprint(k.key, " ran ", runs, " times")
	}
	token, said := "", false
	for _, a := range k.answers {
		if a.Refusal != nil {
			said = said || a.Refusal.Ran != pomelo.RanNo
			continue
		}
		said = true
		if runs == 0 || token != "" && token != string(a.Body) {
			return k.key + " was answered without its run, or differently"
		}
		token = string(a.Body)
	}
	if runs > 0 && !said {
		return k.key + " ran and was only said not to have run"
	}
	return ""
}

func claimHistories(n int, plant bool) (bad []string, tally map[string]int) {
	var mu sync.Mutex
	var runs sync.WaitGroup
	tally = map[string]int{}
	for i := range n {
		runs.Go(func() {
			s := newSystem(uint64(i+1), plant)
			keys := s.run()
			mu.Lock()
			defer mu.Unlock()
			for _, k := range keys {
				if f := judge(k, s.total(k.key)); f != "" {
					bad = append(bad, f)
				}
				for _, a := range k.answers {
					tally[name(a)]++
				}
			}
		})
	}
	runs.Wait()
	return bad, tally
}

func name(a pomelo.Answer) string {
	if a.Refusal == nil {
		return "whole"
	}
	return string(a.Refusal.Kind) + "_" + string(a.Refusal.Ran)
}

func TestClaimHistories(t *testing.T) {
	convey.Convey("No key runs twice or is answered in two ways, over changes of owner, lost answers and repeats", t, func() {
		bad, tally := claimHistories(*historySeeds, false)
		t.Logf("%d seeds: %v", *historySeeds, tally)
		convey.So(bad, convey.ShouldBeEmpty)
		convey.So(tally["whole"], convey.ShouldBeGreaterThan, 0)
	})
	convey.Convey("The checker finds an owner that takes itself for the first", t, func() {
		bad, _ := claimHistories(5, true)
		t.Logf("found %d", len(bad))
		convey.So(bad, convey.ShouldNotBeEmpty)
	})
}
