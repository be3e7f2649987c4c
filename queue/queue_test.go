package queue_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/queue"
	"github.com/smartystreets/goconvey/convey"
)

const (
	now         = pomelo.Millis(1_000_000)
	pollTimeout = 5 * time.Second
)

type entered struct {
	id     string
	permit pomelo.Permit
	err    error
}

// enter calls Acquire in a goroutine and returns once the call is admitted, queued or refused.
func enter(q *queue.Queue, c pomelo.Call, out chan entered) {
	_, waitingBefore, _ := q.Load()
	done := make(chan struct{})
	go func() {
		p, err := q.Acquire(context.Background(), c)
		out <- entered{c.ID, p, err}
		close(done)
	}()
	for end := time.Now().Add(pollTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		select {
		case <-done:
			return
		default:
		}
		if _, waiting, _ := q.Load(); waiting > waitingBefore {
			return
		}
	}
}

func call(id string, importance, depth int) pomelo.Call {
	return pomelo.Call{ID: id, RootID: id, RouteName: "r", Importance: importance, Depth: depth, Deadline: now + 10_000, LatencyObjective: 10_000}
}

func TestOrder(t *testing.T) {
	convey.Convey("A free slot goes to sub-calls of admitted requests first, then to the most important call", t, func() {
		k := clock.New(clock.WithManual(now))
		q := queue.New(k, 1)
		q.SetCapacity(1, 0)
		out := make(chan entered, 8)
		enter(q, call("first", 0, 0), out)
		first := <-out
		convey.So(first.err, convey.ShouldBeNil)
		enter(q, call("less", 1, 0), out)
		enter(q, call("more", 8, 0), out)
		enter(q, call("sub", 0, 1), out)
		p := first.permit
		for _, want := range []string{"sub", "more", "less"} {
			p.Release(10, true)
			e := <-out
			convey.So(e.err, convey.ShouldBeNil)
			convey.So(e.id, convey.ShouldEqual, want)
			p = e.permit
		}
	})
}

func TestTurnAway(t *testing.T) {
	k := clock.New(clock.WithManual(now))
	learn := func(q *queue.Queue, run pomelo.Millis) {
		for i := range 100 {
			p, err := q.Acquire(context.Background(), call(fmt.Sprint("l", i), 0, 0))
			convey.So(err, convey.ShouldBeNil)
			p.Release(run, true)
		}
	}
	convey.Convey("A queue of calls that take a second each", t, func() {
		q := queue.New(k, 1)
		q.SetCapacity(2, 0)
		learn(q, 1_000)
		out := make(chan entered, 64)
		for i := range 2 {
			enter(q, call(fmt.Sprint("running", i), 0, 0), out)
			<-out
		}

		convey.Convey("refuses at once a call that can't end in time, as not run, with RetryAfter", func() {
			c := call("late", 0, 0)
			c.Deadline = now + 1_200
			_, err := q.Acquire(context.Background(), c)
			f := pomelo.FaultOf(err)
			convey.So(f.Kind, convey.ShouldEqual, pomelo.KindOverload)
			convey.So(f.Ran, convey.ShouldEqual, pomelo.RanNo)
			convey.So(f.RetryAfter, convey.ShouldBeGreaterThan, 0)
		})
		convey.Convey("refuses a call that would wait longer than half of its latency objective", func() {
			c := call("slow", 0, 0)
			c.LatencyObjective = 600
			_, err := q.Acquire(context.Background(), c)
			convey.So(pomelo.IsKind(err, pomelo.KindOverload), convey.ShouldBeTrue)
		})
		convey.Convey("queues a more important call where it refuses a less important one", func() {
			for i := range 8 {
				enter(q, call(fmt.Sprint("waiting", i), 4, 0), out)
			}
			less, more := call("less", 1, 0), call("more", 8, 0)
			less.LatencyObjective, more.LatencyObjective = 6_000, 6_000
			_, err := q.Acquire(context.Background(), less)
			convey.So(pomelo.IsKind(err, pomelo.KindOverload), convey.ShouldBeTrue)
			enter(q, more, out)
			_, waiting, _ := q.Load()
			convey.So(waiting, convey.ShouldEqual, 9)
		})
		convey.Convey("removes a canceled call without releasing a slot that it did not have", func() {
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() {
				_, err := q.Acquire(ctx, call("left", 0, 0))
				done <- err
			}()
			for end := time.Now().Add(pollTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if _, waiting, _ := q.Load(); waiting == 1 {
					break
				}
			}
			cancel()
			convey.So(pomelo.IsKind(<-done, pomelo.KindCanceled), convey.ShouldBeTrue)
			running, waiting, _ := q.Load()
			convey.So(running, convey.ShouldEqual, 2)
			convey.So(waiting, convey.ShouldEqual, 0)
		})
	})

	convey.Convey("A queue admits as many calls at once as slots are announced, and refuses none of them", t, func() {
		q := queue.New(k, 1)
		q.SetCapacity(50, 0)
		for i := range 50 {
			_, err := q.Acquire(context.Background(), call(fmt.Sprint(i), 0, 0))
			convey.So(err, convey.ShouldBeNil)
		}
		convey.So(q.ShedThreshold(""), convey.ShouldEqual, 0)
	})
}
