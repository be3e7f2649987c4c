package fence

import (
	"slices"

	"github.com/pomeloworks/pomelo"
)

// begin returns the call's record, and whether it is new, so that the caller must run the call.
func (t *Table) begin(c pomelo.Call) (*record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[c.ID]; ok {
		return r, false
	}
	r := newRecord(c)
	t.records[c.ID] = r
	return r, true
}

// finish records the answer of a non-idempotent call and removes the record of an idempotent one, which may run again.
func (t *Table) finish(r *record, a pomelo.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.answer = a
	r.ran = ranOf(a)
	close(r.done)
	if r.idempotent {
		delete(t.records, r.id)
		return
	}
	r.size = recordOverheadBytes + len(a.Body)
	for k, v := range a.Header {
		r.size += len(k)
		for _, s := range v {
			r.size += len(s)
		}
	}
	r.sweep = t.sweep
	t.answerBytes += r.size
	t.finished = append(t.finished, r)
	t.enforceLimits()
}

// findOrFence returns the call's record. If there is none, it fences a non-idempotent call and returns a refusal for an idempotent one; it returns nil if the record may have been removed over the limit, or if the table has no room for another fence.
func (t *Table) findOrFence(q pomelo.FenceRequest) *record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[q.ID]; ok {
		return r
	}
	if q.Idempotent {
		return finishedRecord(pomelo.Refuse(q.ID, lostIdempotent()))
	}
	if t.sweep <= t.incompleteUntil || len(t.fenced) >= t.maxFenced {
		return nil
	}
	r := finishedRecord(notStarted(q.ID))
	r.sweep = t.sweep
	t.records[q.ID] = r
	t.fenced = append(t.fenced, r)
	return r
}

func finishedRecord(a pomelo.Answer) *record {
	r := &record{id: a.CallID, done: make(chan struct{}), answer: a, ran: a.Refusal.Ran}
	close(r.done)
	return r
}

// enforceLimits removes the oldest answers and finished records that are over the limits. After it removes a record, the table can't tell whether an unknown call ran until recordRetentionSweeps sweeps have passed.
func (t *Table) enforceLimits() {
	for t.answerBytes > t.maxAnswerBytes && t.firstWithAnswer < len(t.finished) {
		t.dropOldestAnswer()
	}
	if len(t.finished) <= t.maxFinished {
		return
	}
	// Removes a batch beyond the excess, so that the slice is shifted rarely.
	t.removeOldest(len(t.finished) - t.maxFinished + t.maxFinished/removalBatchDivisor)
	t.incompleteUntil = t.sweep + recordRetentionSweeps
}

// dropOldestAnswer discards the oldest retained answer.
func (t *Table) dropOldestAnswer() {
	r := t.finished[t.firstWithAnswer]
	t.firstWithAnswer++
	t.answerBytes -= r.size
	r.answerDropped = true
	r.answer = pomelo.Answer{}
}

// removeOldest removes the n oldest finished records.
func (t *Table) removeOldest(n int) {
	for t.firstWithAnswer < n {
		t.dropOldestAnswer()
	}
	for _, r := range t.finished[:n] {
		delete(t.records, r.id)
	}
	t.finished = slices.Delete(t.finished, 0, n)
	t.firstWithAnswer -= n
}

// Sweep advances the retention clock by one sweep interval and removes expired answers, records and fences.
func (t *Table) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep++
	for t.firstWithAnswer < len(t.finished) && t.sweep-t.finished[t.firstWithAnswer].sweep >= answerRetentionSweeps {
		t.dropOldestAnswer()
	}
	t.removeOldest(expired(t.finished, t.sweep))
	n := expired(t.fenced, t.sweep)
	for _, r := range t.fenced[:n] {
		delete(t.records, r.id)
	}
	t.fenced = slices.Delete(t.fenced, 0, n)
}

func expired(records []*record, sweep int) int {
	n := 0
	for n < len(records) && sweep-records[n].sweep >= recordRetentionSweeps {
		n++
	}
	return n
}
