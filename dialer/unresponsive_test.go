package dialer_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/fence"
	"github.com/smartystreets/goconvey/convey"
)

// upstream runs calls, counts the runs of each, and calls the function of the test at each step.
type upstream struct {
	mu       sync.Mutex
	runs     map[string]int
	stepHook func(step, id string)
	runTime  time.Duration
}

func (u *upstream) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	u.mu.Lock()
	u.runs[c.ID]++
	u.mu.Unlock()
	u.step("started", c.ID)
	select {
	case <-time.After(u.runTime):
	case <-ctx.Done():
		f := pomelo.NewFault(pomelo.KindCanceled, "cancelled", "")
		f.Ran = pomelo.RanUnknown
		return pomelo.Refuse(c.ID, f)
	}
	u.step("ended", c.ID)
	return pomelo.Answer{CallID: c.ID, Status: http.StatusOK, Body: []byte("answer of " + c.ID)}
}

func (u *upstream) onStep(f func(step, id string)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stepHook = f
}

func (u *upstream) step(step, id string) {
	u.mu.Lock()
	f := u.stepHook
	u.mu.Unlock()
	f(step, id)
}

func (u *upstream) count(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

func TestUnresponsiveConnection(t *testing.T) {
	cases := []struct {
		name     string
		step     string
		up, down bool
		runs     int
	}{
		{"in both directions before the call", "before", true, true, 0},
		{"towards the serving node before the call", "before", true, false, 0},
		{"towards the caller before the call", "before", false, true, 1},
		{"in both directions while the call runs", "started", true, true, 1},
		{"towards the serving node while the call runs", "started", true, false, 1},
		{"towards the caller while the call runs", "started", false, true, 1},
		{"in both directions before the answer", "ended", true, true, 1},
		{"towards the caller before the answer", "ended", false, true, 1},
	}
	convey.Convey("A non-idempotent call over a connection that becomes unresponsive is resolved over a new one", t, func() {
		for _, tc := range cases {
			convey.Convey(fmt.Sprintf("unresponsive %s", tc.name), func() {
				u := &upstream{runs: map[string]int{}, runTime: 20 * time.Millisecond}
				p := newPair(fence.New(clock.New(), u))
				defer p.close()
				u.onStep(func(step, id string) {
					if step == tc.step && id == "second" {
						p.relay.Drop(tc.up, tc.down)
					}
				})
				convey.So(p.pool.Send(context.Background(), p.member, order("first")).Refusal, convey.ShouldBeNil)
				if tc.step == "before" {
					p.relay.Drop(tc.up, tc.down)
				}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				a := p.pool.Send(ctx, p.member, order("second"))
				convey.So(u.count("second"), convey.ShouldEqual, tc.runs)
				if tc.runs == 0 {
					convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
					convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindPeerLost)
					return
				}
				convey.So(a.Refusal, convey.ShouldBeNil)
				convey.So(string(a.Body), convey.ShouldEqual, "answer of second")
			})
		}
	})
}
