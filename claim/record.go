package claim

import (
	"slices"

	"github.com/pomeloworks/pomelo"
)

// claim is one key's; done is closed with its outcome.
type claim struct {
	right   string
	digest  string
	claimed pomelo.Millis
	done    chan struct{}
	ended   bool
	// adopted came from the owner before, which runs it.
	adopted bool
	answer  pomelo.Answer
	ran     pomelo.Ran
	dropped bool
	size    int
}

// take returns the key's claim, and whether the call is its first; the error is a *pomelo.Fault.
func (b *Book) take(right string, c pomelo.Call, floor pomelo.Millis) (*claim, bool, error) {
	if !b.standing.IsOwner(right) {
		return nil, false, noStanding()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.expire(now)
	digest := digestOf(c)
	if e, ok := b.claims[right]; ok {
		return e, false, sameRequest(e, digest)
	}
	if err := b.mayBegin(right, c.IdempotencyKey, now, floor); err != nil {
		return nil, false, err
	}
	e := &claim{right: right, digest: digest, claimed: now, done: make(chan struct{})}
	b.claims[right] = e
	b.order = append(b.order, e)
	return e, true, nil
}

func (b *Book) mayBegin(right, key string, now, floor pomelo.Millis) error {
	if b.isFromFuture(key, now) {
		return pomelo.NewFault(pomelo.KindBadRequest, "the idempotency key's time lies in the future", "set the clock that makes the keys, or use UUIDs of version 4")
	}
	if b.predates(right, key, now, floor) {
		return inDoubt(pomelo.RanUnknown)
	}
	if len(b.claims) >= b.maxClaims {
		f := pomelo.NewFault(pomelo.KindOverload, "the node holds as many idempotency keys as it may", "come back after the given time")
		f.RetryAfter = comeBackIn
		return f
	}
	return nil
}

// finish records the outcome; a call that did not run gives the key free.
func (b *Book) finish(e *claim, a pomelo.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ran := pomelo.RanYes
	if a.Refusal != nil {
		ran = a.Refusal.Ran
	}
	b.end(e, a, ran)
}

func (b *Book) end(e *claim, a pomelo.Answer, ran pomelo.Ran) {
	e.answer = a
	e.ran = ran
	e.ended = true
	close(e.done)
	if e.ran == pomelo.RanNo {
		delete(b.claims, e.right)
		b.strike(e)
		return
	}
	e.size = sizeOf(a)
	b.bytes += e.size
	b.bound()
}

// strike takes the claim off the order, near whose end it stands.
func (b *Book) strike(e *claim) {
	for i := len(b.order) - 1; i >= 0; i-- {
		if b.order[i] != e {
			continue
		}
		b.order = slices.Delete(b.order, i, i+1)
		if i < b.kept {
			b.kept--
		}
		return
	}
}

// bound drops the oldest answers over the limit; their claims stay, so that no repeat runs.
func (b *Book) bound() {
	for b.bytes > b.maxBytes && b.kept < len(b.order) {
		if e := b.order[b.kept]; e.ended {
			b.drop(e)
		}
		b.kept++
	}
}

func (b *Book) drop(e *claim) {
	b.bytes -= e.size
	e.size = 0
	e.dropped = true
	e.answer = pomelo.Answer{}
}

// expire forgets claims that have ended and outlived their life; keys that may be as old are in doubt from then on.
func (b *Book) expire(now pomelo.Millis) {
	n := 0
	for n < len(b.order) && (b.order[n].ended || b.order[n].adopted) && now-b.order[n].claimed >= b.life {
		e := b.order[n]
		b.drop(e)
		if b.claims[e.right] == e {
			delete(b.claims, e.right)
		}
		n++
	}
	b.order = b.order[n:]
	b.kept = max(b.kept-n, 0)
}

func (b *Book) outcome(e *claim, c pomelo.Call) pomelo.Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.dropped {
		return refuse(c, inDoubt(e.ran))
	}
	a := e.answer
	a.CallID = c.ID
	return a
}

func sameRequest(e *claim, digest string) error {
	if e.digest == digest {
		return nil
	}
	return pomelo.NewFault(pomelo.KindIdempotencyKeyReused, "the idempotency key came before with another request", "use a new key for each request")
}

func sizeOf(a pomelo.Answer) int {
	n := recordBytes + len(a.Body)
	for k, v := range a.Header {
		n += len(k)
		for _, s := range v {
			n += len(s)
		}
	}
	return n
}

func refuse(c pomelo.Call, f *pomelo.Fault) pomelo.Answer {
	a := pomelo.Refuse(c.ID, f)
	a.RetriesLeft = c.RetriesLeft
	return a
}

func noStanding() *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindNotAuthoritative, "the owner of the idempotency key is changing", "come back after the given time with the same key")
	f.RetryAfter = comeBackIn
	return f
}

func inProgress() *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindInProgress, "the first request with this idempotency key still runs", "come back after the given time with the same key")
	f.Ran = pomelo.RanUnknown
	f.RetryAfter = comeBackIn
	return f
}

func inDoubt(ran pomelo.Ran) *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindInDoubt, "a request with this idempotency key may have come before, and its answer is not known here", "ask for its outcome before sending it with a new key")
	f.Ran = ran
	return f
}
