package metric

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// Quantiles written for each histogram.
const (
	median       = 0.5
	percentile99 = 0.99
)

// report is the JSON document; the encoder sorts the metric names.
type report struct {
	Counters map[string]int64   `json:"counters"`
	Gauges   map[string]float64 `json:"gauges"`
	Times    map[string]summary `json:"times_ms"`
}

// summary describes one histogram in milliseconds.
type summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// WriteJSON writes every metric sorted by name, durations in milliseconds; it returns the error of w.
func (s *Sink) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(s.report()), "write the metrics")
}

func (s *Sink) report() report {
	r := report{map[string]int64{}, map[string]float64{}, map[string]summary{}}
	s.counters.Range(func(k, v any) bool {
		r.Counters[k.(string)] = v.(metrics.Counter).Count()
		return true
	})
	s.gauges.Range(func(k, v any) bool {
		r.Gauges[k.(string)] = v.(metrics.GaugeFloat64).Value()
		return true
	})
	s.times.Range(func(k, v any) bool {
		r.Times[k.(string)] = summarize(v.(metrics.Histogram).Snapshot())
		return true
	})
	return r
}

func summarize(h metrics.Histogram) summary {
	p := h.Percentiles([]float64{median, percentile99})
	return summary{
		Count: h.Count(),
		Mean:  h.Mean() / microsPerMilli,
		P50:   p[0] / microsPerMilli,
		P99:   p[1] / microsPerMilli,
		Max:   float64(h.Max()) / microsPerMilli,
	}
}
