package evict_test

import (
	"context"
	"io"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/evict"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/smartystreets/goconvey/convey"
)

// fixedClock is a clock that stands still.
type fixedClock pomelo.Millis

// Now implements pomelo.Clock.
func (c fixedClock) Now() pomelo.Millis { return pomelo.Millis(c) }

// Sleep implements pomelo.Clock.
func (c fixedClock) Sleep(ctx context.Context, _ pomelo.Millis) error { return ctx.Err() }

// fakeConn waits as it is told, and leaves its table when it is ended.
type fakeConn struct {
	table *evict.Table
	wait  pomelo.ClientWait
	ended bool
}

// Wait implements pomelo.ClientConn.
func (c *fakeConn) Wait() pomelo.ClientWait { return c.wait }

// Evict implements pomelo.ClientConn.
func (c *fakeConn) Evict(pomelo.ClientWait) bool {
	c.ended = true
	c.table.Remove(c)
	return true
}

func TestTable(t *testing.T) {
	convey.Convey("Given a table of three connections, at a time of 10 s", t, func() {
		clock := fixedClock(10_000)
		table := evict.New(clock, logs.New(io.Discard), metric.New(), "callers", 3)
		add := func(kind pomelo.WaitKind, age pomelo.Millis, bytes int64) *fakeConn {
			c := &fakeConn{table: table, wait: pomelo.ClientWait{Kind: kind, Since: clock.Now() - age, Bytes: bytes}}
			convey.So(table.Add(context.Background(), c), convey.ShouldBeNil)
			return c
		}
		convey.Convey("a new one takes the place of the one that has been idle longest", func() {
			stalled := add(pomelo.WaitReader, 9_000, 1)
			older, younger := add(pomelo.WaitIdle, 3_000, 1), add(pomelo.WaitIdle, 2_000, 1)
			add(pomelo.WaitIdle, 0, 1)
			convey.So([]bool{stalled.ended, older.ended, younger.ended}, convey.ShouldResemble, []bool{false, true, false})
			convey.So(table.Len(), convey.ShouldEqual, 3)
		})
		convey.Convey("a connection between two requests goes before one that is new", func() {
			unused, between := add(pomelo.WaitNew, 50, 1), add(pomelo.WaitIdle, 0, 1)
			add(pomelo.WaitNone, 9_000, 1)
			add(pomelo.WaitNew, 0, 1)
			convey.So([]bool{unused.ended, between.ended}, convey.ShouldResemble, []bool{false, true})
		})
		convey.Convey("without idle ones it takes that of the one that has stalled longest", func() {
			running, older, younger := add(pomelo.WaitNone, 9_000, 1), add(pomelo.WaitRequest, 3_000, 1), add(pomelo.WaitReader, 2_000, 1)
			add(pomelo.WaitIdle, 0, 1)
			convey.So([]bool{running.ended, older.ended, younger.ended}, convey.ShouldResemble, []bool{false, true, false})
		})
		convey.Convey("with running requests only it waits until its context ends", func() {
			for range 3 {
				add(pomelo.WaitNone, 9_000, 1)
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			convey.So(table.Add(ctx, &fakeConn{}), convey.ShouldNotBeNil)
		})
		convey.Convey("memory comes from the transfers that have stalled longest, then from idle connections", func() {
			idle, older, younger := add(pomelo.WaitIdle, 9_000, 1<<20), add(pomelo.WaitRequest, 3_000, 1<<20), add(pomelo.WaitReader, 2_000, 1<<20)
			table.Reclaim(1)
			convey.So([]bool{idle.ended, older.ended, younger.ended}, convey.ShouldResemble, []bool{false, true, false})
			table.Reclaim(2 << 20)
			convey.So([]bool{idle.ended, younger.ended}, convey.ShouldResemble, []bool{true, true})
		})
		convey.Convey("transfers that make progress are left alone", func() {
			c := add(pomelo.WaitReader, 500, 1<<20)
			table.Reclaim(1)
			convey.So(c.ended, convey.ShouldBeFalse)
		})
	})
}
