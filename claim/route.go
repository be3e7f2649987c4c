package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
)

type callerHandler struct {
	table *Table
	next  pomelo.Handler
}

// Handle routes the call by its key; a call with a key counts as non-idempotent, whatever its route's setting.
func (h callerHandler) Handle(ctx context.Context, c pomelo.Call) pomelo.Answer {
	if c.IdempotencyKey == "" || isSafe(c.Method) {
		return h.next.Handle(ctx, c)
	}
	if len(c.IdempotencyKey) > maxKeyBytes {
		return refuse(c, pomelo.NewFault(pomelo.KindBadRequest, "the idempotency key is too long", "send a key of at most 255 bytes, best a UUID of version 7"))
	}
	c.NonIdempotent = true
	c.ToKeyOwner = true
	a := h.table.route(ctx, c)
	a.CallID = c.ID
	return a
}

// route retries for a limited time while the key's owner is changing.
func (t *Table) route(ctx context.Context, c pomelo.Call) pomelo.Answer {
	deadline := min(t.clock.Now()+routeTimeout, c.Deadline)
	for {
		a := t.deliver(ctx, c)
		ownerChanged := a.Refusal != nil && a.Refusal.Kind == pomelo.KindNotAuthoritative && a.Refusal.Ran == pomelo.RanNo
		if !ownerChanged || t.clock.Now()+routeRetryDelay >= deadline || t.clock.Sleep(ctx, routeRetryDelay) != nil {
			return a
		}
	}
}

func (t *Table) deliver(ctx context.Context, c pomelo.Call) pomelo.Answer {
	owner, ok := t.ownership.Owner(resourceOf(c))
	if !ok {
		return refuse(c, ownerChanging())
	}
	c.TimeLeft = c.Deadline - t.clock.Now()
	if c.TimeLeft <= 0 {
		return refuse(c, pomelo.NewFault(pomelo.KindDeadline, "the request's deadline has passed", "allow more time"))
	}
	// The serving node deduplicates calls by id, so each delivery needs its own.
	c.ID = uuid.Must(uuid.NewV7()).String()
	if owner.VM == t.members.Self().VM {
		return t.claimAndRun(ctx, c)
	}
	limited, cancel := context.WithTimeout(ctx, c.TimeLeft.Duration())
	defer cancel()
	return t.transport.Send(limited, owner, c)
}

// resourceOf returns the resource name under which the key's ownership is assigned; account and key are hashed separately so that different pairs can't give the same bytes.
func resourceOf(c pomelo.Call) string {
	account := sha256.Sum256([]byte(c.Account))
	key := sha256.Sum256([]byte(c.IdempotencyKey))
	sum := sha256.Sum256(append(account[:], key[:]...))
	return "claim/" + c.Service + "/" + hex.EncodeToString(sum[:])
}

// requestDigest returns a hash that differs between different requests under the same key.
func requestDigest(c pomelo.Call) string {
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
