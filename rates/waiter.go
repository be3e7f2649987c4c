package rates

import (
	"slices"

	"github.com/pomeloworks/pomelo"
)

// waiter is a request that waits for a token; admitted receives the decision once, soon after until at the latest, and numbers count up in order of arrival.
type waiter struct {
	admitted chan bool
	until    pomelo.Millis
	number   uint64
	// importance is the level of the request.
	importance int
}

// addWaiter adds a waiting request; the caller holds the account's lock.
func (a *account) addWaiter(now pomelo.Millis, importance int) waiter {
	a.lastWaiter++
	w := waiter{admitted: make(chan bool, 1), until: now + maxTokenWait, number: a.lastWaiter, importance: importance}
	a.waiters = append(a.waiters, w)
	return w
}

// serve admits waiting requests, the most important first and of the same importance in order of arrival; the caller holds the account's lock.
func (a *account) serve(now pomelo.Millis) {
	for len(a.waiters) > 0 && a.pool.TryTake(now) {
		a.decide(now, a.mostImportant(), true)
	}
}

func (a *account) mostImportant() int {
	best := 0
	for i, w := range a.waiters {
		if w.importance > a.waiters[best].importance {
			best = i
		}
	}
	return best
}

// refuseExpired refuses the requests that have waited for maxTokenWait; the caller holds the account's lock.
func (a *account) refuseExpired(now pomelo.Millis) {
	for len(a.waiters) > 0 && a.waiters[0].until <= now {
		a.decide(now, 0, false)
	}
}

// refuseUpTo refuses the waiting requests up to the given number; the caller holds the account's lock.
func (a *account) refuseUpTo(now pomelo.Millis, number uint64) {
	for len(a.waiters) > 0 && a.waiters[0].number <= number {
		a.decide(now, 0, false)
	}
}

func (a *account) decide(now pomelo.Millis, i int, admitted bool) {
	w := a.waiters[i]
	if admitted {
		a.tiers.RecordServed()
	} else {
		a.recordRefused(now)
	}
	w.admitted <- admitted
	a.waiters = slices.Delete(a.waiters, i, i+1)
}

// recordRefused counts a request that found no token in time. Tokens are not short for the account if many owners don't answer.
func (a *account) recordRefused(now pomelo.Millis) {
	a.pool.CountRefused()
	if a.pool.FailedShare(now) <= maxFailedShare {
		a.tiers.RecordRefused()
	}
}
