package rates

import "github.com/pomeloworks/pomelo"

// roundState is the progress of a round on behalf of the waiting requests up to lastWaiter: it pauses at most once for them, and does not repeat requests to shards that were requested at or after since.
type roundState struct {
	since      pomelo.Millis
	lastWaiter uint64
	paused     bool
	pending    pending
}

// roundStep is what a round does next: return parts of tokens, and send requests, pause, or end.
type roundStep struct {
	requests []pomelo.OwnerGrantRequests
	returns  []pomelo.OwnerGrantRequests
	owners   shardOwners
	pause    pomelo.Millis
	done     bool
}

func newRoundState(now pomelo.Millis, lastWaiter uint64) *roundState {
	return &roundState{since: now, lastWaiter: lastWaiter, pending: pending{finished: make(chan struct{}, maxRoundRequests)}}
}

// restart extends the round to the waiting requests up to lastWaiter.
func (r *roundState) restart(now pomelo.Millis, lastWaiter uint64) {
	r.since = now
	r.lastWaiter = lastWaiter
	r.paused = false
}
