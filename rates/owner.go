package rates

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// Answer is the pomelo.Responder for token requests to this node as an owner of shards.
func (l *Limiter) Answer(_ context.Context, _ pomelo.Member, decode func(any) error) (any, error) {
	var batch pomelo.GrantBatch
	if err := decode(&batch); err != nil {
		return nil, err
	}
	return l.issueAll(batch.Requests), nil
}

func (l *Limiter) issueAll(requests []pomelo.GrantRequest) pomelo.GrantReply {
	r := pomelo.GrantReply{Grants: make([]pomelo.Grant, 0, len(requests))}
	for _, a := range requests {
		r.Grants = append(r.Grants, l.issue(a))
	}
	return r
}

// issue issues tokens only while this node owns the shard, which it checks immediately before.
func (l *Limiter) issue(a pomelo.GrantRequest) pomelo.Grant {
	moved := pomelo.Grant{Account: a.Account, Shard: a.Shard, Moved: true}
	c, ok := l.config.Account(a.Account)
	if !ok || a.Shard < 0 || a.Shard >= pomelo.MaxShards {
		return moved
	}
	l.bucketsMu.Lock()
	defer l.bucketsMu.Unlock()
	k := l.applyAccount(c)
	resource := shardResource(c.Name, a.Shard)
	since, ownedFor := l.ownershipOf(resource, k)
	if since == 0 {
		return moved
	}
	return l.buckets.Issue(l.clock.Monotonic(), since, ownedFor, resource, pomelo.ShardOf(c, a.Shard), a)
}
