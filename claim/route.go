package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
)

type entered struct {
	book *Book
	next pomelo.Handler
}

// Handle routes by the key; a key's calls count as non-idempotent whatever the route says.
func (n entered) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	if c.IdempotencyKey == "" || isSafe(c.Method) {
		return n.next.Handle(ctx, c)
	}
	if len(c.IdempotencyKey) > keyBytes {
		return refuse(c, pomelo.NewFault(pomelo.KindBadRequest, "the idempotency key is too long", "send a key of at most 255 bytes, best a UUID of version 7"))
	}
	c.NonIdempotent = true
	c.ToKeyOwner = true
	a := n.book.route(ctx, c)
	a.CallID = c.ID
	return a
}

// route asks again for a while when the owner is changing.
func (b *Book) route(ctx context.Context, c pomelo.Call) pomelo.Answer {
	end := min(b.clock.Now()+routeLimit, c.Deadline)
	for {
		a := b.deliver(ctx, c)
		moved := a.Refusal != nil && a.Refusal.Kind == pomelo.KindNotAuthoritative && a.Refusal.Ran == pomelo.RanNo
		if !moved || b.clock.Now()+routePause >= end || b.clock.Sleep(ctx, routePause) != nil {
			return a
		}
	}
}

func (b *Book) deliver(ctx context.Context, c pomelo.Call) pomelo.Answer {
	m, ok := b.standing.Owner(rightOf(c))
	if !ok {
		return refuse(c, noStanding())
	}
	c.TimeLeft = c.Deadline - b.clock.Now()
	if c.TimeLeft <= 0 {
		return refuse(c, pomelo.NewFault(pomelo.KindDeadline, "the request's deadline has passed", "allow more time"))
	}
	// The serving side remembers calls by id, and each delivery is one of its own.
	c.ID = uuid.Must(uuid.NewV7()).String()
	if m.VM == b.members.Self().VM {
		return b.own(ctx, c)
	}
	limited, cancel := context.WithTimeout(ctx, c.TimeLeft.Duration())
	defer cancel()
	return b.transport.Send(limited, m, c)
}

// rightOf names the claim as pomelo.Standing knows it; account and key are hashed so that their bytes can't run into each other.
func rightOf(c pomelo.Call) string {
	account := sha256.Sum256([]byte(c.Account))
	key := sha256.Sum256([]byte(c.IdempotencyKey))
	sum := sha256.Sum256(append(account[:], key[:]...))
	return "claim/" + c.Service + "/" + hex.EncodeToString(sum[:])
}

// digestOf tells requests under one key apart.
func digestOf(c pomelo.Call) string {
	h := sha256.New()
	for _, s := range []string{c.Method, c.Path} {
		sum := sha256.Sum256([]byte(s))
		h.Write(sum[:])
	}
	h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil))
}

func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}
