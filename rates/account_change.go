package rates

import (
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/grant"
)

// knownAccount is an account as this node's buckets know it; changedAt is the monotonic time of the last change of its rate or burst, or 0.
type knownAccount struct {
	account   pomelo.ClientAccount
	changedAt pomelo.Millis
}

// ApplyAccounts tells this node's buckets of accounts that may have changed. It must be called when they change: a bucket earns by the rate that is in force at the time.
func (l *Limiter) ApplyAccounts(accounts []pomelo.ClientAccount) {
	l.bucketsMu.Lock()
	defer l.bucketsMu.Unlock()
	for _, a := range accounts {
		l.applyAccount(a)
	}
}

// applyAccount applies a change of the account's rate or burst to all shards that this node owns; bucketsMu must be locked.
func (l *Limiter) applyAccount(a pomelo.ClientAccount) knownAccount {
	k, ok := l.known[a.Name]
	if ok && k.account == a {
		return k
	}
	previous := k.account
	k.account = a
	if ok {
		now := l.clock.Monotonic()
		for shard := range pomelo.MaxShards {
			resource := shardResource(a.Name, shard)
			if since, ownedFor := l.ownershipOf(resource, k); since != 0 {
				l.buckets.Change(now, since, ownedFor, resource, shard, previous, a)
			}
		}
		k.changedAt = now
	}
	l.known[a.Name] = k
	return k
}

// ownershipOf returns since when this node owns the resource, or 0, and for how long a new bucket may have earned: not longer than since the account's last change, by which another number of shards may have earned its rate.
func (l *Limiter) ownershipOf(resource string, k knownAccount) (since, ownedFor pomelo.Millis) {
	// OwnedFor is read after OwnedSince, so that it never belongs to an earlier ownership than the one that OwnedSince identifies.
	since = l.ownership.OwnedSince(resource)
	ownedFor = l.ownership.OwnedFor(resource)
	if k.changedAt != 0 {
		ownedFor = min(ownedFor, l.clock.Monotonic()-k.changedAt+grant.MaxTTL)
	}
	return since, ownedFor
}
