package metric

import (
	"math"
	"sync"

	"github.com/pomeloworks/pomelo"
	"github.com/rcrowley/go-metrics"
)

const (
	// reservoirSize is the number of samples that a histogram keeps.
	reservoirSize = 1028
	// decayAlpha weights a histogram towards about the last five minutes.
	decayAlpha = 0.015
	// microsPerMilli scales durations, since the library's histograms hold integers.
	microsPerMilli = 1000
)

// Sink implements pomelo.Metrics; it is safe for concurrent use.
type Sink struct {
	reservoir int
	counters  sync.Map
	gauges    sync.Map
	times     sync.Map
}

var _ pomelo.Metrics = (*Sink)(nil)

// New returns an empty Sink.
func New(opts ...func(*Sink)) *Sink {
	s := &Sink{reservoir: reservoirSize}
	for _, o := range opts {
		o(s)
	}
	return s
}

// WithReservoir sets the number of samples that each histogram keeps.
func WithReservoir(size int) func(*Sink) {
	return func(s *Sink) { s.reservoir = size }
}

// Count adds n to the named counter.
func (s *Sink) Count(name string, n int64) {
	v, ok := s.counters.Load(name)
	if !ok {
		v, _ = s.counters.LoadOrStore(name, metrics.NewCounter())
	}
	v.(metrics.Counter).Inc(n)
}

// Time adds a duration in milliseconds to the named histogram; NaN and infinities are ignored.
func (s *Sink) Time(name string, millis float64) {
	if !isFinite(millis) {
		return
	}
	v, ok := s.times.Load(name)
	if !ok {
		h := metrics.NewHistogram(metrics.NewExpDecaySample(s.reservoir, decayAlpha))
		v, _ = s.times.LoadOrStore(name, h)
	}
	v.(metrics.Histogram).Update(int64(math.Round(millis * microsPerMilli)))
}

// Gauge sets the named gauge; NaN and infinities, which JSON can't represent, are ignored.
func (s *Sink) Gauge(name string, value float64) {
	if !isFinite(value) {
		return
	}
	v, ok := s.gauges.Load(name)
	if !ok {
		v, _ = s.gauges.LoadOrStore(name, metrics.NewGaugeFloat64())
	}
	v.(metrics.GaugeFloat64).Update(value)
}

func isFinite(value float64) bool {
	return !math.IsNaN(value) && !math.IsInf(value, 0)
}
