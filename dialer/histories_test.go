package dialer_test

import (
	"context"
	"flag"
	"sync"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/fence"
	"github.com/smartystreets/goconvey/convey"
)

var historySeeds = flag.Int("history_seeds", 6, "how many seeds TestHistories runs")

// tally adds up what became of calls over runs.
type tally struct {
	calls, answered, notRun, unknown       int
	givenUp                                int
	silent, settled, fencedOff, stillDoubt int64
}

func (t *tally) add(s *site) {
	for _, a := range s.answers {
		t.calls++
		switch {
		case a.Refusal == nil:
			t.answered++
		case a.Refusal.Ran == pomelo.RanNo:
			t.notRun++
		case a.Refusal.Kind == pomelo.KindCanceled:
			t.givenUp++
		default:
			t.unknown++
		}
	}
	t.silent += s.metrics.count("dialer.silent")
	t.settled += s.metrics.count("fence.answered")
	t.fencedOff += s.metrics.count("fence.ran_no")
	t.stillDoubt += s.metrics.count("fence.ran_unknown") + s.metrics.count("fence.ran_yes")
}

func histories(first, n int, p plant) (tally, []string) {
	var mu sync.Mutex
	var sum tally
	var bad []string
	var runs sync.WaitGroup
	for i := range n {
		runs.Go(func() {
			seed := uint64(first + i)
			s := newSite(seed, p)
			s.run(seed)
			s.close()
			mu.Lock()
			defer mu.Unlock()
			sum.add(s)
			bad = append(bad, s.broken()...)
		})
		if i%6 == 5 {
			runs.Wait()
		}
	}
	runs.Wait()
	return sum, bad
}

func TestHistories(t *testing.T) {
	convey.Convey("No call over silenced and delayed connections runs twice or is falsely said not to have run", t, func() {
		sum, bad := histories(1, *historySeeds, nil)
		t.Logf("seeds 1 to %d: %+v", *historySeeds, sum)
		convey.So(bad, convey.ShouldBeEmpty)
		convey.So(sum.calls, convey.ShouldEqual, *historySeeds*callsPerRun)
	})
}

// forgetful answers "not started" without recording it.
type forgetful struct {
	*fence.Table
	mu      sync.Mutex
	started map[string]bool
}

func (f *forgetful) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	f.mu.Lock()
	f.started[c.ID] = true
	f.mu.Unlock()
	return f.Table.Handle(ctx, c)
}

func (f *forgetful) Resolve(ctx context.Context, q pomelo.FenceRequest) pomelo.Answer {
	f.mu.Lock()
	started := f.started[q.ID]
	f.mu.Unlock()
	if started {
		return f.Table.Resolve(ctx, q)
	}
	return pomelo.Refuse(q.ID, pomelo.NewFault(pomelo.KindPeerLost, "not started", ""))
}

func TestHistoriesFindAPlantedFault(t *testing.T) {
	convey.Convey("The checker finds a fence that is promised and not recorded", t, func() {
		sum, bad := histories(1, 6, func(t *fence.Table) pomelo.Handler {
			return &forgetful{Table: t, started: map[string]bool{}}
		})
		t.Logf("seeds 1 to 6: %+v, found %v", sum, bad)
		convey.So(bad, convey.ShouldNotBeEmpty)
	})
}
