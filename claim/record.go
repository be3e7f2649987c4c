package claim

import (
	"slices"

	"github.com/pomeloworks/pomelo"
)

// claim records one idempotency key and the outcome of its call; done is closed once the outcome is known.
type claim struct {
	resource  string
	digest    string
	claimedAt pomelo.Millis
	done      chan struct{}
	finished  bool
	// A claim received from the previous owner, which runs the call.
	imported      bool
	answer        pomelo.Answer
	ran           pomelo.Ran
	answerDropped bool
	size          int
}

// acquire returns the key's claim, and whether it is new, so that the caller must run the call; the error is a *pomelo.Fault.
func (t *Table) acquire(resource string, c pomelo.Call, previousSince pomelo.Millis) (*claim, bool, error) {
	if !t.ownership.IsOwner(resource) {
		return nil, false, ownerChanging()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.expire(now)
	digest := requestDigest(c)
	if e, ok := t.claims[resource]; ok {
		return e, false, checkSameRequest(e, digest)
	}
	if err := t.checkNewKey(resource, c.IdempotencyKey, now, previousSince); err != nil {
		return nil, false, err
	}
	e := &claim{resource: resource, digest: digest, claimedAt: now, done: make(chan struct{})}
	t.claims[resource] = e
	t.order = append(t.order, e)
	return e, true, nil
}

func (t *Table) checkNewKey(resource, key string, now, previousSince pomelo.Millis) error {
	if t.isFromFuture(key, now) {
		return pomelo.NewFault(pomelo.KindBadRequest, "the idempotency key's time lies in the future", "set the clock that makes the keys, or use UUIDs of version 4")
	}
	if t.mayHaveBeenClaimed(resource, key, now, previousSince) {
		return inDoubt(pomelo.RanUnknown)
	}
	if len(t.claims) >= t.maxClaims {
		f := pomelo.NewFault(pomelo.KindOverload, "the node holds as many idempotency keys as it may", "come back after the given time")
		f.RetryAfter = retryAfter
		return f
	}
	return nil
}

// finish records the outcome of a call that ran on this node; if the call did not run, the key can be claimed again.
func (t *Table) finish(e *claim, a pomelo.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ran := pomelo.RanYes
	if a.Refusal != nil {
		ran = a.Refusal.Ran
	}
	t.setOutcome(e, a, ran)
}

func (t *Table) setOutcome(e *claim, a pomelo.Answer, ran pomelo.Ran) {
	e.answer = a
	e.ran = ran
	e.finished = true
	close(e.done)
	if e.ran == pomelo.RanNo {
		delete(t.claims, e.resource)
		t.removeFromOrder(e)
		return
	}
	e.size = sizeOf(a)
	t.answerBytes += e.size
	t.enforceSizeLimit()
}

// removeFromOrder removes the claim from order; it searches from the end because claims removed this way are recent.
func (t *Table) removeFromOrder(e *claim) {
	for i := len(t.order) - 1; i >= 0; i-- {
		if t.order[i] != e {
			continue
		}
		t.order = slices.Delete(t.order, i, i+1)
		if i < t.firstWithAnswer {
			t.firstWithAnswer--
		}
		return
	}
}

// enforceSizeLimit removes the oldest answers while their total size is over the limit; the claims remain, so that no repeated call runs.
func (t *Table) enforceSizeLimit() {
	for t.answerBytes > t.maxAnswerBytes && t.firstWithAnswer < len(t.order) {
		if e := t.order[t.firstWithAnswer]; e.finished {
			t.dropAnswer(e)
		}
		t.firstWithAnswer++
	}
}

func (t *Table) dropAnswer(e *claim) {
	t.answerBytes -= e.size
	e.size = 0
	e.answerDropped = true
	e.answer = pomelo.Answer{}
}

// expire removes finished claims that are older than the retention time; from then on, keys that may be as old are in doubt.
func (t *Table) expire(now pomelo.Millis) {
	n := 0
	for n < len(t.order) && (t.order[n].finished || t.order[n].imported) && now-t.order[n].claimedAt >= t.retention {
		e := t.order[n]
		t.dropAnswer(e)
		if t.claims[e.resource] == e {
			delete(t.claims, e.resource)
		}
		n++
	}
	t.order = t.order[n:]
	t.firstWithAnswer = max(t.firstWithAnswer-n, 0)
}

func (t *Table) outcome(e *claim, c pomelo.Call) pomelo.Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.answerDropped {
		return refuse(c, inDoubt(e.ran))
	}
	a := e.answer
	a.CallID = c.ID
	return a
}

func checkSameRequest(e *claim, digest string) error {
	if e.digest == digest {
		return nil
	}
	return pomelo.NewFault(pomelo.KindIdempotencyKeyReused, "the idempotency key came before with another request", "use a new key for each request")
}

func sizeOf(a pomelo.Answer) int {
	n := claimOverheadBytes + len(a.Body)
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

func ownerChanging() *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindNotAuthoritative, "the owner of the idempotency key is changing", "come back after the given time with the same key")
	f.RetryAfter = retryAfter
	return f
}

func inProgress() *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindInProgress, "the first request with this idempotency key still runs", "come back after the given time with the same key")
	f.Ran = pomelo.RanUnknown
	f.RetryAfter = retryAfter
	return f
}

func inDoubt(ran pomelo.Ran) *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindInDoubt, "a request with this idempotency key may have come before, and its answer is not known here", "ask for its outcome before sending it with a new key")
	f.Ran = ran
	return f
}
