package claim

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

// Bounds of one message of a handover, in bytes.
const (
	batchBytes  = 32 << 10
	answerBytes = 16 << 10
)

// Times of a handover in milliseconds.
const (
	successorLimit = pomelo.Millis(5_000)
	leavePause     = pomelo.Millis(20)
)

// Leave hands all claims over to their next owners, at once, and the answers of those that still run when they have ended; it is to be called once this node has given up its standing for good. Since is from when on it knows every key of its rights.
func (b *Book) Leave(ctx context.Context, peers pomelo.Peers, since pomelo.Millis) error {
	defer b.leaving.Store(false)
	targets := b.successors(ctx)
	open, records := b.records(nil)
	err := b.handOver(ctx, peers, targets, records, &pomelo.ClaimBatch{Complete: true, Since: since})
	for _, e := range open {
		select {
		case <-e.done:
		case <-ctx.Done():
			return errors.CombineErrors(err, ctx.Err())
		}
	}
	if len(open) == 0 {
		return err
	}
	_, records = b.records(open)
	return errors.CombineErrors(err, b.handOver(ctx, peers, nil, records, nil))
}

// Leaving announces that Leave will be called, which Running counts from now on.
func (b *Book) Leaving() {
	b.leaving.Store(true)
}

// Running counts the claimed calls that run here, and a handover under way.
func (b *Book) Running() int {
	n := int(b.running.Load())
	if b.leaving.Load() {
		n++
	}
	return n
}

// successors waits until the rosters that list this node have a generation without it, and returns those generations' members.
func (b *Book) successors(ctx context.Context) map[string]pomelo.Member {
	l, ok := b.standing.(pomelo.OwnershipHistory)
	if !ok {
		return nil
	}
	mine := map[string]bool{}
	for _, r := range l.Rosters() {
		mine[r.Name] = lists(r, b.members.Self()) || lists(pomelo.Roster{Members: r.Previous}, b.members.Self())
	}
	end := b.clock.Now() + successorLimit
	for b.isListed(l) && b.hasHeir() && b.clock.Now() < end {
		_ = b.clock.Sleep(ctx, leavePause)
	}
	out := map[string]pomelo.Member{}
	for _, r := range l.Rosters() {
		if !mine[r.Name] {
			continue
		}
		for _, m := range r.Members {
			out[processOf(m)] = m
		}
	}
	delete(out, processOf(b.members.Self()))
	return out
}

// hasHeir is false when every other node is leaving too, so that no generation without this one will come.
func (b *Book) hasHeir() bool {
	self := processOf(b.members.Self())
	for _, m := range b.members.All() {
		if processOf(m) != self && !m.Draining {
			return true
		}
	}
	return false
}

func (b *Book) isListed(l pomelo.OwnershipHistory) bool {
	for _, r := range l.Rosters() {
		if lists(r, b.members.Self()) {
			return true
		}
	}
	return false
}

func lists(r pomelo.Roster, m pomelo.Member) bool {
	for _, e := range r.Members {
		if processOf(e) == processOf(m) {
			return true
		}
	}
	return false
}

// handOver sends each record to its right's owner, and then the last batch to those and all targets.
func (b *Book) handOver(ctx context.Context, peers pomelo.Peers, targets map[string]pomelo.Member, records []pomelo.ClaimRecord, last *pomelo.ClaimBatch) error {
	next := map[string]pomelo.Member{}
	for k, m := range targets {
		next[k] = m
	}
	batches := map[string][]pomelo.ClaimRecord{}
	for _, r := range records {
		m, ok := b.standing.Owner(r.Resource)
		if !ok || processOf(m) == processOf(b.members.Self()) {
			return noStanding()
		}
		next[processOf(m)] = m
		batches[processOf(m)] = append(batches[processOf(m)], r)
	}
	var err error
	for k, m := range next {
		err = errors.CombineErrors(err, tellAll(ctx, peers, m, batches[k], last))
	}
	return err
}

func tellAll(ctx context.Context, peers pomelo.Peers, m pomelo.Member, records []pomelo.ClaimRecord, last *pomelo.ClaimBatch) error {
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) && (n == 0 || size+len(records[n].Body)+recordBytes < batchBytes) {
			size += len(records[n].Body) + recordBytes
			n++
		}
		if err := tell(ctx, peers, m, pomelo.ClaimBatch{Records: records[:n]}); err != nil {
			return err
		}
		records = records[n:]
	}
	if last == nil {
		return nil
	}
	return tell(ctx, peers, m, *last)
}

func tell(ctx context.Context, peers pomelo.Peers, m pomelo.Member, batch pomelo.ClaimBatch) error {
	var done bool
	return peers.Request(ctx, m, pomelo.MessageHandover, batch, &done)
}

// records lists the claims, or only the given ones, and besides those that still run.
func (b *Book) records(only []*claim) ([]*claim, []pomelo.ClaimRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := only
	if from == nil {
		from = b.order
	}
	var open []*claim
	var out []pomelo.ClaimRecord
	for _, e := range from {
		if b.claims[e.right] != e && e.ran != pomelo.RanNo {
			continue
		}
		out = append(out, e.record())
		if !e.ended {
			open = append(open, e)
		}
	}
	return open, out
}

// record has no outcome while the claim runs, and leaves out answers that are too long for a message.
func (e *claim) record() pomelo.ClaimRecord {
	r := pomelo.ClaimRecord{Resource: e.right, Digest: e.digest, ClaimedAt: e.claimed, Ran: e.ran}
	if e.ended && !e.dropped && sizeOf(e.answer) <= answerBytes {
		a := e.answer
		r.Body = a.Body
		a.Body = nil
		r.Answer = &a
	}
	return r
}
