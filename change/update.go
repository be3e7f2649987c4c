package change

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

const (
	maxAttempts = 32
	// retryPause lies between two tries while the store does not answer.
	retryPause = pomelo.Millis(50)
)

// edit makes the new document out of the current record; a refusal leaves the record as it is.
type edit func(r pomelo.Record) (document, error)

// update is one change of one record.
type update struct {
	changer *Changer
	order   order
	key     string
	edit    edit
	// doubtful is true while a write may still take effect; base is the revision that it expects.
	doubtful bool
	base     pomelo.Revision
}

// outcome is a change that is known to be in the store.
type outcome struct {
	record   pomelo.Record
	revision pomelo.Revision
	repeated bool
}

func (o outcome) result() pomelo.CommandResult {
	return pomelo.CommandResult{Revision: o.revision, Repeated: o.repeated}
}

func (c *Changer) update(ctx context.Context, o order, key string, e edit) (outcome, error) {
	u := &update{changer: c, order: o, key: key, edit: e}
	sent := false
	for range maxAttempts {
		r, err := u.read(ctx)
		if err != nil {
			return outcome{}, err
		}
		done, revision, err := u.isDone(r)
		if err != nil {
			return outcome{}, err
		}
		if done {
			return outcome{record: r, revision: revision, repeated: !sent}, nil
		}
		value, err := u.next(r)
		if err != nil {
			return outcome{}, err
		}
		sent = true
		w, err := c.store.Put(ctx, pomelo.Write{Key: key, Value: value, Expected: r.Revision})
		if err == nil {
			return outcome{record: w, revision: w.Revision}, nil
		}
		if err := u.failed(ctx, r, err); err != nil {
			return outcome{}, err
		}
	}
	return outcome{}, u.crowded()
}

// read returns the current record, of revision 0 when there is none; while a write is in doubt it is tried again.
func (u *update) read(ctx context.Context) (pomelo.Record, error) {
	for {
		r, err := u.changer.store.Get(ctx, u.key)
		if pomelo.IsKind(err, pomelo.KindNotFound) {
			return pomelo.Record{Key: u.key}, nil
		}
		if err == nil {
			return r, nil
		}
		if !u.doubtful {
			return r, u.order.notRead(err)
		}
		if !u.pause(ctx) {
			return r, u.order.inDoubt()
		}
	}
}

// isDone looks for this command in the record's memory, and settles a doubt where the record has moved on without it.
func (u *update) isDone(r pomelo.Record) (bool, pomelo.Revision, error) {
	var m memory
	if err := decode(r, &m); err != nil {
		return false, 0, err
	}
	a, revision, ok := m.find(u.order.ID, r.Revision)
	if ok && a.Digest != u.order.digest {
		return false, 0, bad("the command id "+u.order.ID+" was used for another command", "give each command an id of its own")
	}
	if !ok && u.order.Repeat && m.hasForgotten(u.order.ID) {
		return false, 0, u.order.forgotten(u.key)
	}
	if r.Revision != u.base {
		u.doubtful = false
	}
	return ok, revision, nil
}

// next is the value to write on r.
func (u *update) next(r pomelo.Record) ([]byte, error) {
	if u.order.Expected != 0 && u.order.Expected != r.Revision {
		return nil, u.conflict(r)
	}
	d, err := u.edit(r)
	if err != nil {
		return nil, err
	}
	d.remember(applied{ID: u.order.ID, Base: r.Revision, Digest: u.order.digest})
	value, err := json.Marshal(d)
	return value, errors.Wrap(err, "encode record")
}

// failed returns nil when the record has to be read again: the next write on the same revision also fences a lost one.
func (u *update) failed(ctx context.Context, r pomelo.Record, err error) error {
	if pomelo.IsKind(err, pomelo.KindConflict) {
		return nil
	}
	if !pomelo.IsKind(err, pomelo.KindStoreUnavailable) {
		return err
	}
	u.doubtful = true
	u.base = r.Revision
	if u.pause(ctx) {
		return nil
	}
	return u.order.inDoubt()
}

// pause is false when the patience has run out.
func (u *update) pause(ctx context.Context) bool {
	c := u.changer
	if c.clock.Now() >= u.order.until {
		return false
	}
	return c.clock.Sleep(ctx, retryPause) == nil
}

func (u *update) conflict(r pomelo.Record) error {
	if r.Revision == 0 {
		return pomelo.NewFault(pomelo.KindConflict, u.key+" does not exist", "leave the expected revision out to make it")
	}
	return pomelo.NewFault(pomelo.KindConflict, errors.Newf("%s is at revision %d, not %d", u.key, r.Revision, u.order.Expected).Error(), "look at the change in between, and give the command with that revision")
}

func (u *update) crowded() error {
	if u.doubtful {
		return u.order.inDoubt()
	}
	return pomelo.NewFault(pomelo.KindConflict, "other operators keep changing "+u.key, "look at it and try again")
}

func (o order) inDoubt() error {
	f := pomelo.NewFault(pomelo.KindInDoubt, "the store does not tell whether the change took effect", "give the same command with the same command id "+o.ID+" again when the store answers")
	f.Ran = pomelo.RanUnknown
	return f
}

func (o order) forgotten(key string) error {
	f := pomelo.NewFault(pomelo.KindInDoubt, key+" has been changed so often since that it does not remember this command", "look at the record; if the change is missing, give the command under a new id")
	f.Ran = pomelo.RanUnknown
	return f
}

// notRead is a refusal, but for a repeat, whose first attempt may have taken effect.
func (o order) notRead(err error) error {
	if !pomelo.IsKind(err, pomelo.KindStoreUnavailable) {
		return err
	}
	if o.Repeat {
		return o.inDoubt()
	}
	return pomelo.NewFault(pomelo.KindStoreUnavailable, "the store does not answer, and nothing was changed", "try again when the store answers")
}
