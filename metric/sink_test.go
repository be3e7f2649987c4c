package metric_test

import (
	"bytes"
	"math"
	"sync"
	"testing"

	"github.com/pomeloworks/pomelo/metric"
	"github.com/smartystreets/goconvey/convey"
)

const want = `{
  "counters": {
    "a": 1,
    "b": 3
  },
  "gauges": {
    "g": 0.5
  },
  "times_ms": {
    "a": {
      "count": 3,
      "mean": 1.5,
      "p50": 1.5,
      "p99": 2.5,
      "max": 2.5
    }
  }
}
`

func TestSink(t *testing.T) {
	convey.Convey("Metrics are written sorted by name, durations in milliseconds, and metrics of several kinds may share a name", t, func() {
		s := metric.New(metric.WithReservoir(100))
		s.Count("b", 3)
		s.Count("a", 1)
		s.Gauge("g", 0.5)
		s.Gauge("g", math.NaN())
		s.Time("a", math.Inf(1))
		for _, v := range []float64{1.5, 0.5, 2.5} {
			s.Time("a", v)
		}
		var out bytes.Buffer
		convey.So(s.WriteJSON(&out), convey.ShouldBeNil)
		convey.So(out.String(), convey.ShouldEqual, want)
	})
	convey.Convey("No count is lost under concurrent use", t, func() {
		s := metric.New()
		var g sync.WaitGroup
		for range 8 {
			g.Go(func() {
				for range 1000 {
					s.Count("n", 1)
					s.Time("t", 1)
				}
			})
		}
		g.Wait()
		var out bytes.Buffer
		convey.So(s.WriteJSON(&out), convey.ShouldBeNil)
		convey.So(out.String(), convey.ShouldContainSubstring, `"n": 8000`)
		convey.So(out.String(), convey.ShouldContainSubstring, `"count": 8000`)
	})
}

func BenchmarkCount(b *testing.B) {
	s := metric.New()
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			s.Count("calls", 1)
		}
	})
}

func BenchmarkTime(b *testing.B) {
	s := metric.New()
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			s.Time("took", 1.25)
		}
	})
}
