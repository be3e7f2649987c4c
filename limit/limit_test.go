package limit_test

import (
	"math/rand/v2"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/limit"
	"github.com/smartystreets/goconvey/convey"
)

// model is an upstream with unlimited demand; selfTime returns its self time in milliseconds at a number of running calls.
type model struct {
	limit    *limit.Limit
	now      pomelo.Millis
	dueEnds  float64
	selfTime func(running int) float64
}

// run simulates d milliseconds, in each of which running/selfTime calls end, and returns the limit reached.
func (m *model) run(d pomelo.Millis) int {
	for range d {
		m.now++
		n := m.limit.Allowed()
		t := m.selfTime(n)
		m.dueEnds += float64(n) / t
		for ; m.dueEnds >= 1; m.dueEnds-- {
			m.limit.Observe(m.now, pomelo.Millis(t), true, n)
		}
	}
	return m.limit.Allowed()
}

func flat(t float64) func(int) float64 {
	return func(int) float64 { return t }
}

// knee models an upstream that runs only n calls at once, whatever it announced, and queues the others internally.
func knee(t float64, n int) func(int) float64 {
	return func(running int) float64 { return t * max(1, float64(running)/float64(n)) }
}

func TestLimit(t *testing.T) {
	convey.Convey("Given an upstream that announced 48 slots", t, func() {
		m := &model{limit: limit.New(), selfTime: flat(20)}
		m.limit.SetCap(48)
		convey.Convey("It starts low and ramps up to its slots within two seconds", func() {
			convey.So(m.limit.Allowed(), convey.ShouldEqual, 6)
			convey.So(m.run(2_000), convey.ShouldEqual, 48)
			convey.So(m.run(20_000), convey.ShouldEqual, 48)
		})
		convey.Convey("A slowdown not caused by load lowers the limit only briefly", func() {
			m.run(5_000)
			m.selfTime = flat(100)
			m.run(5_000)
			convey.So(m.run(10_000), convey.ShouldEqual, 48)
		})
		convey.Convey("The limit falls when fewer calls run at once than announced, from the start or later", func() {
			m.selfTime = knee(20, 12)
			m.run(5_000)
			convey.So(m.run(5_000), convey.ShouldBeBetweenOrEqual, 9, 21)
			m.selfTime = flat(20)
			convey.So(m.run(10_000), convey.ShouldEqual, 48)
			m.selfTime = knee(20, 12)
			convey.So(m.run(20_000), convey.ShouldBeBetweenOrEqual, 9, 24)
		})
		convey.Convey("A changed announcement restarts the limit, a repeated one does not", func() {
			m.run(5_000)
			m.limit.SetCap(48)
			convey.So(m.limit.Allowed(), convey.ShouldEqual, 48)
			m.limit.SetCap(24)
			convey.So(m.limit.Allowed(), convey.ShouldEqual, 3)
		})
		convey.Convey("With few slots, scattered self times don't lower the limit", func() {
			r := rand.New(rand.NewPCG(1, 1))
			m.limit.SetCap(2)
			m.selfTime = func(int) float64 { return 10 + 10*r.ExpFloat64() }
			m.run(5_000)
			m.selfTime = func(int) float64 { return 50 + 50*r.ExpFloat64() }
			for range 30 {
				convey.So(m.run(1_000), convey.ShouldEqual, 2)
			}
		})
		convey.Convey("Without demand the limit is not raised", func() {
			for i := range 1000 {
				m.limit.Observe(pomelo.Millis(i), 5, true, 1)
			}
			convey.So(m.limit.Allowed(), convey.ShouldEqual, 6)
		})
	})
}
