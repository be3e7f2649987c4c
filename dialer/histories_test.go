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

// outcomes counts the outcomes of calls over several runs.
type outcomes struct {
	calls, answered, notRun, unknown           int
	canceled                                   int
	unresponsive, resolved, fenced, unresolved int64
}

func (o *outcomes) add(s *site) {
	for _, a := range s.answers {
		o.calls++
		switch {
		case a.Refusal == nil:
			o.answered++
		case a.Refusal.Ran == pomelo.RanNo:
			o.notRun++
		case a.Refusal.Kind == pomelo.KindCanceled:
			o.canceled++
		default:
			o.unknown++
		}
	}
	o.unresponsive += s.metrics.count("dialer.silent")
	o.resolved += s.metrics.count("fence.answered")
	o.fenced += s.metrics.count("fence.ran_no")
	o.unresolved += s.metrics.count("fence.ran_unknown") + s.metrics.count("fence.ran_yes")
}

func runHistories(firstSeed, n int, p injectFault) (outcomes, []string) {
	var mu sync.Mutex
	var sum outcomes
	var violations []string
	var runs sync.WaitGroup
	for i := range n {
		runs.Go(func() {
			seed := uint64(firstSeed + i)
			s := newSite(seed, p)
			s.run(seed)
			s.close()
			mu.Lock()
			defer mu.Unlock()
			sum.add(s)
			violations = append(violations, s.violations()...)
		})
		if i%6 == 5 {
			runs.Wait()
		}
	}
	runs.Wait()
	return sum, violations
}

func TestHistories(t *testing.T) {
	convey.Convey("Over connections that lose or delay data no non-idempotent call runs twice, and no call that ran is reported as not run", t, func() {
		sum, violations := runHistories(1, *historySeeds, nil)
		t.Logf("seeds 1 to %d: %+v", *historySeeds, sum)
		convey.So(violations, convey.ShouldBeEmpty)
		convey.So(sum.calls, convey.ShouldEqual, *historySeeds*callsPerRun)
	})
}

// unrecordedFence is a faulty fence: it answers that a call has not started, without preventing a later start.
type unrecordedFence struct {
	*fence.Table
	mu      sync.Mutex
	started map[string]bool
}

func (f *unrecordedFence) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	f.mu.Lock()
	f.started[c.ID] = true
	f.mu.Unlock()
	return f.Table.Handle(ctx, c)
}

func (f *unrecordedFence) Resolve(ctx context.Context, q pomelo.FenceRequest) pomelo.Answer {
	f.mu.Lock()
	started := f.started[q.ID]
	f.mu.Unlock()
	if started {
		return f.Table.Resolve(ctx, q)
	}
	return pomelo.Refuse(q.ID, pomelo.NewFault(pomelo.KindPeerLost, "not started", ""))
}

func TestHistoriesFindAPlantedFault(t *testing.T) {
	convey.Convey("The checker finds a fence that answers 'not started' without recording it", t, func() {
		sum, violations := runHistories(1, 6, func(t *fence.Table) pomelo.Handler {
			return &unrecordedFence{Table: t, started: map[string]bool{}}
		})
		t.Logf("seeds 1 to 6: %+v, found %v", sum, violations)
		convey.So(violations, convey.ShouldNotBeEmpty)
	})
}
