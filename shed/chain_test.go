package shed_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/shed"
	"github.com/smartystreets/goconvey/convey"
)

// The load: requests in one millisecond, and the repeated sub-calls that a service's retry share pays for in one second.
const (
	chainRate     = 1
	chainCalls    = 4
	chainTurned   = 0.55
	chainRepeats  = 200
	chainMost     = 6
	chainSeconds  = 8
	importantEach = 4
)

// turning runs requests that make four sub-calls one after the other on a service whose upstreams turn calls away by chance.
type turning struct {
	random *rand.Rand
	left   int
	whole  map[int]int
	failed map[int]int
}

// Handle runs one request.
func (s *turning) Handle(_ context.Context, c pomelo.Call) pomelo.Answer {
	v := pomelo.SubtreeCalls{Service: "sensors", Calls: chainCalls}
	a := pomelo.Answer{CallID: c.ID, Status: http.StatusOK}
	for range chainCalls {
		if !s.call() {
			v.Refused = 1
			a.Status = http.StatusInternalServerError
			break
		}
	}
	a.SubtreeCalls = []pomelo.SubtreeCalls{v}
	if v.Refused > 0 {
		s.failed[c.Importance]++
	} else {
		s.whole[c.Importance]++
	}
	return a
}

func (s *turning) call() bool {
	for i := range chainMost {
		if i > 0 {
			if s.left == 0 {
				return false
			}
			s.left--
		}
		if s.random.Float64() >= chainTurned {
			return true
		}
	}
	return false
}

func TestChains(t *testing.T) {
	convey.Convey("Where a deep service turns calls away by chance, as many requests are let in as its retries carry, the important ones first", t, func() {
		k := clock.New(clock.WithManual(1_000_000))
		s := &turning{random: rand.New(rand.NewPCG(1, 1)), whole: map[int]int{}, failed: map[int]int{}}
		h := shed.New(k, s, metric.New(), shed.WithSeed(1))
		refused := map[int]int{}
		n := 0
		for second := range chainSeconds {
			s.left = chainRepeats
			if second == chainSeconds/2 {
				// The first half shows how it begins.
				s.whole, s.failed, refused = map[int]int{}, map[int]int{}, map[int]int{}
			}
			for range 1_000 {
				for range chainRate {
					n++
					c := pomelo.Call{ID: fmt.Sprint(n), RootID: fmt.Sprint(n), RouteName: "history", Service: "history", Importance: 5}
					if n%importantEach == 0 {
						c.RouteName, c.Importance = "orders", 8
					}
					if a := h.Handle(context.Background(), c); a.Refusal != nil {
						refused[c.Importance]++
						convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
						convey.So(a.Refusal.RetryAfter, convey.ShouldBeGreaterThan, 0)
					}
				}
				k.Advance(1)
			}
		}
		whole := s.whole[5] + s.whole[8]
		failed := s.failed[5] + s.failed[8]
		t.Logf("whole %v failed %v refused %v", s.whole, s.failed, refused)
		// A request takes 4.9 repeats on average.
		carried := chainSeconds / 2 * chainRepeats / 5
		convey.So(whole, convey.ShouldBeGreaterThanOrEqualTo, carried*3/4)
		convey.So(failed, convey.ShouldBeLessThan, refused[5]+refused[8])
		convey.So(s.whole[8]*refused[5], convey.ShouldBeGreaterThan, s.whole[5]*refused[8])
	})
}
