package load

import (
	"slices"

	"github.com/pomeloworks/pomelo"
)

// importances sums the streams by importance, the most important first.
func importances(streams []*streamStats) []pomelo.LoadImportance {
	sums := map[int]pomelo.LoadImportance{}
	for _, t := range streams {
		l := sums[t.stream.Importance]
		l.Importance = t.stream.Importance
		l.Offered += t.summary.Offered
		l.Complete += t.summary.Complete
		l.Refused += total(t.summary.Refused)
		l.Failed += total(t.summary.Failed)
		sums[t.stream.Importance] = l
	}
	var found []pomelo.LoadImportance
	for _, l := range sums {
		l.CompleteShare = ratio(l.Complete, l.Offered)
		found = append(found, l)
	}
	slices.SortFunc(found, func(a, b pomelo.LoadImportance) int { return b.Importance - a.Importance })
	return found
}

func total(counts map[pomelo.Kind]int64) int64 {
	var sum int64
	for _, n := range counts {
		sum += n
	}
	return sum
}
