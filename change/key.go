package change

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/pomeloworks/pomelo"
)

const (
	secretBytes    = 24
	secretOnceNote = "the secret was shown in the first answer only; if it is lost, withdraw this key and issue another"
)

// issueKey derives the record's key from the command id, so that the same command sent to two nodes creates one API key.
func (c *Changer) issueKey(ctx context.Context, o operation, i pomelo.IssueKey) (pomelo.CommandResult, error) {
	secret := newSecret()
	key := pomelo.Key{ID: hash(secret), Account: i.Account}
	accountExists := false
	out, err := c.update(ctx, o, pomelo.PrefixKey+hash(o.ID), func(r pomelo.Record) (document, error) {
		if r.Revision != 0 {
			return nil, pomelo.NewFault(pomelo.KindConflict, "this command has made a key that has been changed often since", "give a new command id")
		}
		if !accountExists {
			if err := c.requireAccount(ctx, o, i.Account); err != nil {
				return nil, err
			}
			accountExists = true
		}
		return &keyDocument{Key: key}, nil
	})
	if err != nil {
		return pomelo.CommandResult{}, err
	}
	return issuedResult(out, key, secret)
}

func issuedResult(o outcome, key pomelo.Key, secret string) (pomelo.CommandResult, error) {
	var d keyDocument
	if err := decode(o.record, &d); err != nil {
		return pomelo.CommandResult{}, err
	}
	out := o.result()
	out.KeyID = d.ID
	if d.ID == key.ID {
		out.Secret = secret
		return out, nil
	}
	out.Repeated = true
	out.Note = secretOnceNote
	return out, nil
}

func (c *Changer) withdrawKey(ctx context.Context, o operation, w pomelo.WithdrawKey) (pomelo.CommandResult, error) {
	recordKey, id, err := c.findKey(ctx, o, w.ID)
	if err != nil {
		return pomelo.CommandResult{}, err
	}
	out, err := c.update(ctx, o, recordKey, func(r pomelo.Record) (document, error) {
		var d keyDocument
		if err := decode(r, &d); err != nil {
			return nil, err
		}
		d.Withdrawn = true
		return &d, nil
	})
	result := out.result()
	result.KeyID = id
	return result, err
}

// findKey returns the record key and the full id of the only API key whose id begins with prefix.
func (c *Changer) findKey(ctx context.Context, o operation, prefix string) (string, string, error) {
	list, err := c.store.List(ctx, pomelo.PrefixKey)
	if err != nil {
		return "", "", o.readFault(err)
	}
	var recordKey, id string
	found := 0
	for _, r := range list.Records {
		var d keyDocument
		if err := decode(r, &d); err != nil || !strings.HasPrefix(d.ID, prefix) {
			continue
		}
		found++
		recordKey, id = r.Key, d.ID
	}
	switch found {
	case 0:
		return "", "", pomelo.NewFault(pomelo.KindNotFound, "no key's id begins so", "see the ids with: show keys")
	case 1:
		return recordKey, id, nil
	}
	return "", "", badCommand(fmt.Sprintf("%d keys' ids begin so", found), "give more digits of the id; see: show keys")
}

func (c *Changer) requireAccount(ctx context.Context, o operation, name string) error {
	_, err := c.store.Get(ctx, pomelo.PrefixAccount+name)
	if pomelo.IsKind(err, pomelo.KindNotFound) {
		return pomelo.NewFault(pomelo.KindNotFound, "there is no client account "+name, "make it first: set account "+name+" rate 100 burst 200")
	}
	if err != nil {
		return o.readFault(err)
	}
	return nil
}

func newSecret() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b)
	return base64.RawURLEncoding.EncodeToString(b)
}
