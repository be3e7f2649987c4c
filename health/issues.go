package health

import (
	"fmt"

	"github.com/pomeloworks/pomelo"
)

// Thresholds beyond which an upstream is unhealthy.
const (
	// selfTimeFactor is the maximum ratio of the mean self time to its baseline, and minSelfTimeRise the difference in milliseconds that must be exceeded as well.
	selfTimeFactor  = 2.0
	minSelfTimeRise = 3.0
	// queueShare is the number of calls that wait throughout the window, as a share of the slots.
	queueShare = 0.25
	// refusedShare is a share of the calls that arrived, failedShare one of the calls that ran.
	refusedShare = 0.01
	failedShare  = 0.05
	// minCalls is the minimum number of calls from which a share is computed.
	minCalls = 20
	// deadUpstreamFailures is the number of failed calls, without a complete one, from which an upstream counts as failed before minCalls is reached.
	deadUpstreamFailures = 3
)

// detectIssues lists what is wrong with the sample of a window.
func detectIssues(s sample, baseline float64, slots int) []pomelo.HealthIssue {
	var issues []pomelo.HealthIssue
	add := func(detected bool, kind pomelo.HealthIssueKind, detail string) {
		if detected {
			issues = append(issues, pomelo.HealthIssue{Kind: kind, Detail: detail})
		}
	}
	finished := s.complete + s.failed
	selfTime := s.meanSelfTime()
	add(finished >= minCalls && float64(s.failed) >= failedShare*float64(finished) || s.complete == 0 && s.failed >= deadUpstreamFailures,
		pomelo.HealthIssueFailures, fmt.Sprintf("%d of %d failed or late", s.failed, finished))
	add(s.complete >= minCalls && baseline > 0 && selfTime > selfTimeFactor*baseline && selfTime > baseline+minSelfTimeRise,
		pomelo.HealthIssueSelfTime, fmt.Sprintf("%.0f ms, usually %.0f ms", selfTime, baseline))
	add(s.waiting > 0 && float64(s.waiting) >= queueShare*float64(slots),
		pomelo.HealthIssueQueue, fmt.Sprintf("%d wait for %d slots", s.waiting, slots))
	add(s.arrived >= minCalls && float64(s.refused) >= refusedShare*float64(s.arrived),
		pomelo.HealthIssueRefusals, fmt.Sprintf("%d of %d refused", s.refused, s.arrived))
	return issues
}
