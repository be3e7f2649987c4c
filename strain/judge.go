package strain

import (
	"fmt"

	"github.com/pomeloworks/pomelo"
)

// Bounds beyond which an upstream struggles.
const (
	// ownFactor is how far own time may rise over the usual, and ownRise by how many milliseconds at least.
	ownFactor = 2.0
	ownRise   = 3.0
	// queueShare is the share of the slots that may wait all the time.
	queueShare = 0.25
	// refusedShare and brokenShare are of the calls that came or ran.
	refusedShare = 0.01
	brokenShare  = 0.05
	// leastCalls is how many calls a share is worth something of.
	leastCalls = 20
	// deadCalls broken in a row with none whole are a dead upstream.
	deadCalls = 3
)

// judge lists what is wrong with the recent seconds.
func judge(s sample, usual float64, slots int) []pomelo.HealthIssue {
	var out []pomelo.HealthIssue
	add := func(bad bool, kind pomelo.HealthIssueKind, detail string) {
		if bad {
			out = append(out, pomelo.HealthIssue{Kind: kind, Detail: detail})
		}
	}
	ended := s.whole + s.broken
	own := s.meanOwn()
	add(ended >= leastCalls && float64(s.broken) >= brokenShare*float64(ended) || s.whole == 0 && s.broken >= deadCalls,
		pomelo.HealthIssueFailures, fmt.Sprintf("%d of %d failed or late", s.broken, ended))
	add(s.whole >= leastCalls && usual > 0 && own > ownFactor*usual && own > usual+ownRise,
		pomelo.HealthIssueSelfTime, fmt.Sprintf("%.0f ms, usually %.0f ms", own, usual))
	add(s.waiting > 0 && float64(s.waiting) >= queueShare*float64(slots),
		pomelo.HealthIssueQueue, fmt.Sprintf("%d wait for %d slots", s.waiting, slots))
	add(s.entered >= leastCalls && float64(s.refused) >= refusedShare*float64(s.entered),
		pomelo.HealthIssueRefusals, fmt.Sprintf("%d of %d refused", s.refused, s.entered))
	return out
}
