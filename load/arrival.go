package load

import (
	"math/rand/v2"
	"sort"

	"github.com/pomeloworks/pomelo"
)

const millisPerSecond = 1000.0

// arrival is one scheduled request; at is in milliseconds from the start, and withinRate means that the account's rate admits it.
type arrival struct {
	at         float64
	stream     int
	target     int
	withinRate bool
}

// arrivals depend only on the plan, so that the same seed gives the same arrivals.
func arrivals(p pomelo.LoadPlan) []arrival {
	var all []arrival
	for i, s := range p.Streams {
		r := rand.New(rand.NewPCG(p.Seed, uint64(i)+1))
		all = append(all, streamArrivals(p, i, s, r)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	markWithinRate(p, all)
	return all
}

// streamArrivals thins a Poisson process of the peak rate, so that the rate is exact during surges too.
func streamArrivals(p pomelo.LoadPlan, i int, s pomelo.LoadStream, r *rand.Rand) []arrival {
	peak := peakFactor(s)
	if s.Rate <= 0 {
		return nil
	}
	var scheduled []arrival
	gap := millisPerSecond / (s.Rate * peak)
	for at := r.ExpFloat64() * gap; at < float64(p.Duration); at += r.ExpFloat64() * gap {
		keep := r.Float64()*peak < factorAt(s, at)
		target := r.IntN(len(p.Targets))
		if keep {
			scheduled = append(scheduled, arrival{at: at, stream: i, target: target})
		}
	}
	return scheduled
}

func peakFactor(s pomelo.LoadStream) float64 {
	f := 1.0
	for _, u := range s.Surges {
		f *= max(u.Factor, 1)
	}
	return f
}

func factorAt(s pomelo.LoadStream, at float64) float64 {
	f := 1.0
	for _, u := range s.Surges {
		if at >= float64(u.From) && at < float64(u.To) {
			f *= u.Factor
		}
	}
	return f
}
