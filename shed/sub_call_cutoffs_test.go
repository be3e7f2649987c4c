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

// The load: chainRate requests a millisecond with chainCalls sub-calls each, of which the upstreams reject the share chainRejected; chainRetries is the retry budget for one second, chainMaxAttempts bounds the attempts of one sub-call.
const (
	chainRate        = 1
	chainCalls       = 4
	chainRejected    = 0.55
	chainRetries     = 200
	chainMaxAttempts = 6
	chainSeconds     = 8
	importantEvery   = 4
)

// rejecting handles requests that make four sub-calls one after the other on a service whose upstreams reject calls at random.
type rejecting struct {
	random      *rand.Rand
	retriesLeft int
	complete    map[int]int
	failed      map[int]int
}

// Handle makes the sub-calls of one request and fails it at the first one that is rejected finally.
func (s *rejecting) Handle(_ context.Context, c pomelo.Call) pomelo.Answer {
	v := pomelo.SubtreeCalls{Service: "sensors", Calls: chainCalls}
	a := pomelo.Answer{CallID: c.ID, Status: http.StatusOK}
	for range chainCalls {
		if !s.attempt() {
			v.Refused = 1
			a.Status = http.StatusInternalServerError
			break
		}
	}
	a.SubtreeCalls = []pomelo.SubtreeCalls{v}
	if v.Refused > 0 {
		s.failed[c.Importance]++
	} else {
		s.complete[c.Importance]++
	}
	return a
}

func (s *rejecting) attempt() bool {
	for i := range chainMaxAttempts {
		if i > 0 {
			if s.retriesLeft == 0 {
				return false
			}
			s.retriesLeft--
		}
		if s.random.Float64() >= chainRejected {
			return true
		}
	}
	return false
}

func TestChains(t *testing.T) {
	convey.Convey("When a service deep in the call tree rejects calls at random, as many requests are admitted as the retry budget covers, the important ones first", t, func() {
		k := clock.New(clock.WithManual(1_000_000))
		s := &rejecting{random: rand.New(rand.NewPCG(1, 1)), complete: map[int]int{}, failed: map[int]int{}}
		h := shed.New(k, s, metric.New(), shed.WithSeed(1))
		refused := map[int]int{}
		n := 0
		for second := range chainSeconds {
			s.retriesLeft = chainRetries
			if second == chainSeconds/2 {
				// The first half lets the cutoff settle.
				s.complete, s.failed, refused = map[int]int{}, map[int]int{}, map[int]int{}
			}
			for range 1_000 {
				for range chainRate {
					n++
					c := pomelo.Call{ID: fmt.Sprint(n), RootID: fmt.Sprint(n), RouteName: "history", Service: "history", Importance: 5}
					if n%importantEvery == 0 {
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
		complete := s.complete[5] + s.complete[8]
		failed := s.failed[5] + s.failed[8]
		t.Logf("complete %v failed %v refused %v", s.complete, s.failed, refused)
		// A request takes 4.9 retries on average.
		covered := chainSeconds / 2 * chainRetries / 5
		convey.So(complete, convey.ShouldBeGreaterThanOrEqualTo, covered*3/4)
		convey.So(failed, convey.ShouldBeLessThan, refused[5]+refused[8])
		convey.So(s.complete[8]*refused[5], convey.ShouldBeGreaterThan, s.complete[5]*refused[8])
	})
}
