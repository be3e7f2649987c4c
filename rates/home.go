package rates

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// Answer is the pomelo.Responder for draws from this node as a home.
func (l *Limiter) Answer(_ context.Context, _ pomelo.Member, decode func(any) error) (any, error) {
	var b pomelo.GrantBatch
	if err := decode(&b); err != nil {
		return nil, err
	}
	return l.grantAll(b.Requests), nil
}

func (l *Limiter) grantAll(asks []pomelo.GrantRequest) pomelo.GrantReply {
	r := pomelo.GrantReply{Grants: make([]pomelo.Grant, 0, len(asks))}
	for _, a := range asks {
		r.Grants = append(r.Grants, l.grant(a))
	}
	return r
}

// grant gives only while this node holds the part's right, which it checks right before.
func (l *Limiter) grant(a pomelo.GrantRequest) pomelo.Grant {
	moved := pomelo.Grant{Account: a.Account, Shard: a.Shard, Moved: true}
	c, ok := l.config.Account(a.Account)
	if !ok || a.Shards != pomelo.ShardCount(c) || a.Shard < 0 || a.Shard >= a.Shards {
		return moved
	}
	right := rightOf(c, a.Shard)
	l.bookMu.Lock()
	defer l.bookMu.Unlock()
	// The time held is read last, so that it is never of an earlier tenure than the one named.
	since := l.standing.OwnedSince(right)
	held := l.standing.OwnedFor(right)
	if since == 0 {
		return moved
	}
	return l.book.Draw(l.clock.Monotonic(), since, held, right, pomelo.ShardOf(c), a)
}
