package intake

import (
	"fmt"
	"math"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

// TestWeights guards against shares that are not in the proportions of the weights.
func TestWeights(t *testing.T) {
	const requests = 10_000
	cases := []struct{ weights, shares []float64 }{
		{[]float64{90, 10}, []float64{0.9, 0.1}},
		{[]float64{0.9, 0.1}, []float64{0.9, 0.1}},
		{[]float64{0.001, 0.999}, []float64{0.001, 0.999}},
		{[]float64{1e-9, 3e-9}, []float64{0.25, 0.75}},
		{[]float64{1, 1, 1}, []float64{1. / 3, 1. / 3, 1. / 3}},
		{[]float64{0, 0.5}, []float64{0, 1}},
		{[]float64{33.3, 66.7}, []float64{0.333, 0.667}},
	}
	for _, tc := range cases {
		convey.Convey(fmt.Sprint("Weights of ", tc.weights, " are shares of ", tc.shares), t, func() {
			b := balancer{current: map[string][]float64{}}
			r := pomelo.TrafficRoute{Name: "r"}
			for i, w := range tc.weights {
				r.Targets = append(r.Targets, pomelo.RouteTarget{Service: fmt.Sprint(i), Weight: w})
			}
			seen := map[string]int{}
			for range requests {
				seen[b.next(r)]++
			}
			for i, share := range tc.shares {
				convey.So(math.Abs(float64(seen[fmt.Sprint(i)])-share*requests), convey.ShouldBeLessThanOrEqualTo, 1)
			}
		})
	}
}
