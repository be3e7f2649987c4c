package change

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

const (
	maxAttempts = 32
	// retryInterval is the wait between two attempts while the store does not answer.
	retryInterval = pomelo.Millis(50)
)

// edit returns the new document for the current record, or an error that leaves the record unchanged.
type edit func(r pomelo.Record) (document, error)

// update is the execution of one change on one record.
type update struct {
	changer   *Changer
	operation operation
	key       string
	edit      edit
	// inDoubt is true while a write with an unknown outcome may still take effect; base is the revision that this write expects.
	inDoubt bool
	base    pomelo.Revision
}

// outcome is the result of a change that is known to be in the store.
type outcome struct {
	record   pomelo.Record
	revision pomelo.Revision
	repeated bool
}

func (o outcome) result() pomelo.CommandResult {
	return pomelo.CommandResult{Revision: o.revision, Repeated: o.repeated}
}

func (c *Changer) update(ctx context.Context, o operation, key string, fn edit) (outcome, error) {
	u := &update{changer: c, operation: o, key: key, edit: fn}
	sent := false
	for range maxAttempts {
		r, err := u.read(ctx)
		if err != nil {
			return outcome{}, err
		}
		applied, revision, err := u.findApplied(r)
		if err != nil {
			return outcome{}, err
		}
		if applied {
			return outcome{record: r, revision: revision, repeated: !sent}, nil
		}
		value, err := u.nextValue(r)
		if err != nil {
			return outcome{}, err
		}
		sent = true
		w, err := c.store.Put(ctx, pomelo.Write{Key: key, Value: value, Expected: r.Revision})
		if err == nil {
			return outcome{record: w, revision: w.Revision}, nil
		}
		if err := u.handleWriteError(ctx, r, err); err != nil {
			return outcome{}, err
		}
	}
	return outcome{}, u.contentionFault()
}

// read returns the current record, with revision 0 when there is none. While a write is in doubt, failed reads are retried until the deadline.
func (u *update) read(ctx context.Context) (pomelo.Record, error) {
	for {
		r, err := u.changer.store.Get(ctx, u.key)
		if pomelo.IsKind(err, pomelo.KindNotFound) {
			return pomelo.Record{Key: u.key}, nil
		}
		if err == nil {
			return r, nil
		}
		if !u.inDoubt {
			return r, u.operation.readFault(err)
		}
		if !u.waitToRetry(ctx) {
			return r, u.operation.inDoubtFault()
		}
	}
}

// findApplied reports whether the record's history contains this command, and the revision that it wrote. A write in doubt is resolved once the record has another revision than the write expected.
func (u *update) findApplied(r pomelo.Record) (bool, pomelo.Revision, error) {
	var history commandHistory
	if err := decode(r, &history); err != nil {
		return false, 0, err
	}
	a, revision, ok := history.find(u.operation.ID, r.Revision)
	if ok && a.Digest != u.operation.digest {
		return false, 0, badCommand("the command id "+u.operation.ID+" was used for another command", "give each command an id of its own")
	}
	if !ok && u.operation.Repeat && history.mayHaveDropped(u.operation.ID) {
		return false, 0, u.operation.historyTruncatedFault(u.key)
	}
	if r.Revision != u.base {
		u.inDoubt = false
	}
	return ok, revision, nil
}

// nextValue returns the record value that replaces r.
func (u *update) nextValue(r pomelo.Record) ([]byte, error) {
	if u.operation.Expected != 0 && u.operation.Expected != r.Revision {
		return nil, u.conflictFault(r)
	}
	d, err := u.edit(r)
	if err != nil {
		return nil, err
	}
	d.record(appliedCommand{ID: u.operation.ID, Base: r.Revision, Digest: u.operation.digest})
	value, err := json.Marshal(d)
	return value, errors.Wrap(err, "encode record")
}

// handleWriteError returns nil when the record is to be read again. The next write expects the same revision, so it also fences a write whose response was lost.
func (u *update) handleWriteError(ctx context.Context, r pomelo.Record, err error) error {
	if pomelo.IsKind(err, pomelo.KindConflict) {
		return nil
	}
	if !pomelo.IsKind(err, pomelo.KindStoreUnavailable) {
		return err
	}
	u.inDoubt = true
	u.base = r.Revision
	if u.waitToRetry(ctx) {
		return nil
	}
	return u.operation.inDoubtFault()
}

// waitToRetry waits for the retry interval; it returns false once the deadline has passed.
func (u *update) waitToRetry(ctx context.Context) bool {
	c := u.changer
	if c.clock.Now() >= u.operation.deadline {
		return false
	}
	return c.clock.Sleep(ctx, retryInterval) == nil
}

func (u *update) conflictFault(r pomelo.Record) error {
	if r.Revision == 0 {
		return pomelo.NewFault(pomelo.KindConflict, u.key+" does not exist", "leave the expected revision out to make it")
	}
	return pomelo.NewFault(pomelo.KindConflict, errors.Newf("%s is at revision %d, not %d", u.key, r.Revision, u.operation.Expected).Error(), "look at the change in between, and give the command with that revision")
}

func (u *update) contentionFault() error {
	if u.inDoubt {
		return u.operation.inDoubtFault()
	}
	return pomelo.NewFault(pomelo.KindConflict, "other operators keep changing "+u.key, "look at it and try again")
}

func (o operation) inDoubtFault() error {
	f := pomelo.NewFault(pomelo.KindInDoubt, "the store does not tell whether the change took effect", "give the same command with the same command id "+o.ID+" again when the store answers")
	f.Ran = pomelo.RanUnknown
	return f
}

func (o operation) historyTruncatedFault(key string) error {
	f := pomelo.NewFault(pomelo.KindInDoubt, key+" has been changed so often since that it does not remember this command", "look at the record; if the change is missing, give the command under a new id")
	f.Ran = pomelo.RanUnknown
	return f
}

// readFault returns the fault for a failed read. For a repeated command it is in doubt, since an earlier attempt may have taken effect.
func (o operation) readFault(err error) error {
	if !pomelo.IsKind(err, pomelo.KindStoreUnavailable) {
		return err
	}
	if o.Repeat {
		return o.inDoubtFault()
	}
	return pomelo.NewFault(pomelo.KindStoreUnavailable, "the store does not answer, and nothing was changed", "try again when the store answers")
}
