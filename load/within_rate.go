package load

import "github.com/pomeloworks/pomelo"

// bucket is a client account's token bucket; refilledAt is in milliseconds from the start.
type bucket struct {
	account    pomelo.ClientAccount
	tokens     float64
	refilledAt float64
}

// markWithinRate marks the arrivals that an exact token bucket for each account would admit; retries take no tokens.
func markWithinRate(p pomelo.LoadPlan, all []arrival) {
	buckets := map[string]*bucket{}
	for _, a := range p.Accounts {
		buckets[a.Name] = &bucket{account: a, tokens: a.Burst}
	}
	for i := range all {
		b := buckets[p.Streams[all[i].stream].Account]
		if b == nil {
			continue
		}
		all[i].withinRate = b.allow(all[i].at)
	}
}

func (b *bucket) allow(at float64) bool {
	b.tokens = min(b.account.Burst, b.tokens+(at-b.refilledAt)*b.account.Rate/millisPerSecond)
	b.refilledAt = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
