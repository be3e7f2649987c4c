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
func (b *Table) HandOver(ctx context.Context, peers pomelo.Peers, since pomelo.Millis) error {
	defer b.handingOver.Store(false)
	targets := b.successors(ctx)
	unfinished, records := b.records(nil)
	err := b.sendRecords(ctx, peers, targets, records, &pomelo.ClaimBatch{Complete: true, Since: since})
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
	_, records = b.records(unfinished)
	return errors.CombineErrors(err, b.sendRecords(ctx, peers, nil, records, nil))
}

// BeginHandover marks a handover as started, so that Running counts it until Leave returns.
func (b *Table) BeginHandover() {
	b.handingOver.Store(true)
}

// Running returns the number of claimed calls that run on this node, plus one during a handover.
func (b *Table) Running() int {
	n := int(b.running.Load())
	if b.handingOver.Load() {
		n++
	}
	return n
}

// successors waits until every roster that lists this node has a generation without it, and returns the other members of those rosters by process.
func (b *Table) successors(ctx context.Context) map[string]pomelo.Member {
	lineage, ok := b.standing.(pomelo.OwnershipHistory)
	if !ok {
		return nil
	}
	ownRosters := map[string]bool{}
	for _, r := range lineage.Rosters() {
		ownRosters[r.Name] = containsMember(r, b.members.Self()) || containsMember(pomelo.Roster{Members: r.Previous}, b.members.Self())
	}
	deadline := b.clock.Now() + successorTimeout
	for b.isListed(lineage) && b.hasSuccessor() && b.clock.Now() < deadline {
		_ = b.clock.Sleep(ctx, successorPollInterval)
	}
	successors := map[string]pomelo.Member{}
	for _, r := range lineage.Rosters() {
		if !ownRosters[r.Name] {
			continue
		}
		for _, m := range r.Members {
			successors[processID(m)] = m
		}
	}
	delete(successors, processID(b.members.Self()))
	return successors
}

// hasSuccessor reports whether any other node is not draining; if there is none, no generation without this node will follow.
func (b *Table) hasSuccessor() bool {
	self := processID(b.members.Self())
	for _, m := range b.members.All() {
		if processID(m) != self && !m.Draining {
			return true
		}
	}
	return false
}

func (b *Table) isListed(lineage pomelo.OwnershipHistory) bool {
	for _, r := range lineage.Rosters() {
		if containsMember(r, b.members.Self()) {
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
func (b *Table) sendRecords(ctx context.Context, peers pomelo.Peers, targets map[string]pomelo.Member, records []pomelo.ClaimRecord, final *pomelo.ClaimBatch) error {
	recipients := map[string]pomelo.Member{}
	for k, m := range targets {
		recipients[k] = m
	}
	batches := map[string][]pomelo.ClaimRecord{}
	for _, r := range records {
		m, ok := b.standing.Owner(r.Resource)
		if !ok || processID(m) == processID(b.members.Self()) {
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
func (b *Table) records(only []*claim) ([]*claim, []pomelo.ClaimRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	claims := only
	if claims == nil {
		claims = b.order
	}
	var unfinished []*claim
	var out []pomelo.ClaimRecord
	for _, e := range claims {
		if b.claims[e.resource] != e && e.ran != pomelo.RanNo {
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
