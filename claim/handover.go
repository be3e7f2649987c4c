package claim

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

// Size limits of a handover message and of an answer in it.
const (
	maxBatchBytes          = 32 << 10
	maxHandoverAnswerBytes = 16 << 10
)

// Times of a handover in milliseconds.
const (
	successorTimeout      = pomelo.Millis(5_000)
	successorPollInterval = pomelo.Millis(20)
)

// HandOver hands all claims over to their new owners at once, and then the outcomes of the calls that were still running. Call it after this node has given up ownership of all its resources for good; since is the time from which it knows all claims of these resources.
func (t *Table) HandOver(ctx context.Context, peers pomelo.Peers, since pomelo.Millis) error {
	defer t.handingOver.Store(false)
	targets := t.successors(ctx)
	unfinished, records := t.records(nil)
	err := t.sendRecords(ctx, peers, targets, records, &pomelo.ClaimBatch{Complete: true, Since: since})
	for _, e := range unfinished {
		select {
		case <-e.done:
		case <-ctx.Done():
			return errors.CombineErrors(err, ctx.Err())
		}
	}
	if len(unfinished) == 0 {
		return err
	}
	_, records = t.records(unfinished)
	return errors.CombineErrors(err, t.sendRecords(ctx, peers, nil, records, nil))
}

// BeginHandover marks a handover as started, so that Running counts it until HandOver returns.
func (t *Table) BeginHandover() {
	t.handingOver.Store(true)
}

// Running returns the number of claimed calls that run on this node, plus one during a handover.
func (t *Table) Running() int {
	n := int(t.running.Load())
	if t.handingOver.Load() {
		n++
	}
	return n
}

// successors waits until every roster that lists this node has a generation without it, and returns the other members of those rosters by process.
func (t *Table) successors(ctx context.Context) map[string]pomelo.Member {
	history, ok := t.ownership.(pomelo.OwnershipHistory)
	if !ok {
		return nil
	}
	ownRosters := map[string]bool{}
	for _, r := range history.Rosters() {
		ownRosters[r.Name] = containsMember(r, t.members.Self()) || containsMember(pomelo.Roster{Members: r.Previous}, t.members.Self())
	}
	deadline := t.clock.Now() + successorTimeout
	for t.isListed(history) && t.hasSuccessor() && t.clock.Now() < deadline {
		_ = t.clock.Sleep(ctx, successorPollInterval)
	}
	found := map[string]pomelo.Member{}
	for _, r := range history.Rosters() {
		if !ownRosters[r.Name] {
			continue
		}
		for _, m := range r.Members {
			found[processID(m)] = m
		}
	}
	delete(found, processID(t.members.Self()))
	return found
}

// hasSuccessor reports whether any other node is not draining; if there is none, no generation without this node will follow.
func (t *Table) hasSuccessor() bool {
	self := processID(t.members.Self())
	for _, m := range t.members.All() {
		if processID(m) != self && !m.Draining {
			return true
		}
	}
	return false
}

func (t *Table) isListed(history pomelo.OwnershipHistory) bool {
	for _, r := range history.Rosters() {
		if containsMember(r, t.members.Self()) {
			return true
		}
	}
	return false
}

func containsMember(r pomelo.Roster, m pomelo.Member) bool {
	for _, e := range r.Members {
		if processID(e) == processID(m) {
			return true
		}
	}
	return false
}

// sendRecords sends each record to the owner of its resource, and then the final batch, if any, to those owners and to all targets.
func (t *Table) sendRecords(ctx context.Context, peers pomelo.Peers, targets map[string]pomelo.Member, records []pomelo.ClaimRecord, final *pomelo.ClaimBatch) error {
	recipients := map[string]pomelo.Member{}
	for k, m := range targets {
		recipients[k] = m
	}
	batches := map[string][]pomelo.ClaimRecord{}
	for _, r := range records {
		m, ok := t.ownership.Owner(r.Resource)
		if !ok || processID(m) == processID(t.members.Self()) {
			return ownerChanging()
		}
		recipients[processID(m)] = m
		batches[processID(m)] = append(batches[processID(m)], r)
	}
	var err error
	for k, m := range recipients {
		err = errors.CombineErrors(err, sendBatches(ctx, peers, m, batches[k], final))
	}
	return err
}

func sendBatches(ctx context.Context, peers pomelo.Peers, m pomelo.Member, records []pomelo.ClaimRecord, final *pomelo.ClaimBatch) error {
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) && (n == 0 || size+len(records[n].Body)+claimOverheadBytes < maxBatchBytes) {
			size += len(records[n].Body) + claimOverheadBytes
			n++
		}
		if err := sendBatch(ctx, peers, m, pomelo.ClaimBatch{Records: records[:n]}); err != nil {
			return err
		}
		records = records[n:]
	}
	if final == nil {
		return nil
	}
	return sendBatch(ctx, peers, m, *final)
}

func sendBatch(ctx context.Context, peers pomelo.Peers, m pomelo.Member, batch pomelo.ClaimBatch) error {
	var done bool
	return peers.Request(ctx, m, pomelo.MessageHandover, batch, &done)
}

// records returns the claims that have not finished, and the records of all claims; if only is not nil, it covers just these claims.
func (t *Table) records(only []*claim) ([]*claim, []pomelo.ClaimRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	selected := only
	if selected == nil {
		selected = t.order
	}
	var unfinished []*claim
	var out []pomelo.ClaimRecord
	for _, e := range selected {
		if t.claims[e.resource] != e && e.ran != pomelo.RanNo {
			continue
		}
		out = append(out, e.record())
		if !e.finished {
			unfinished = append(unfinished, e)
		}
	}
	return unfinished, out
}

// record returns the claim in the form that is sent to the new owner: without an outcome while the call runs, and without an answer that is too large for a message.
func (e *claim) record() pomelo.ClaimRecord {
	r := pomelo.ClaimRecord{Resource: e.resource, Digest: e.digest, ClaimedAt: e.claimedAt, Ran: e.ran}
	if e.finished && !e.answerDropped && sizeOf(e.answer) <= maxHandoverAnswerBytes {
		a := e.answer
		r.Body = a.Body
		a.Body = nil
		r.Answer = &a
	}
	return r
}
