package view

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

func (v *View) decodeAll(records []pomelo.Record) []pomelo.MemberRecord {
	var out []pomelo.MemberRecord
	for _, r := range records {
		if c, ok := v.decode(r); ok {
			out = append(out, c)
		}
	}
	return out
}

// decode returns the change of a member that the record describes; false if it describes none.
func (v *View) decode(r pomelo.Record) (pomelo.MemberRecord, bool) {
	c := pomelo.MemberRecord{Revision: r.Revision, Deleted: r.Deleted}
	vm := strings.TrimPrefix(r.Key, pomelo.PrefixMember)
	if r.Deleted {
		c.Member.VM = vm
		return c, true
	}
	err := json.Unmarshal(r.Value, &c.Member)
	if err == nil {
		err = c.Member.Check()
	}
	if err == nil && c.Member.VM != vm {
		err = errors.Newf("it is of the VM %q", c.Member.VM)
	}
	if err == nil {
		if c.Member.KeysRequired {
			v.requireKeys(c.Member.VM)
		}
		return c, true
	}
	v.log.Warn("member_unreadable", "key", r.Key, "revision", r.Revision, "error", err.Error())
	if vm == v.self().VM {
		for _, f := range v.onOverwritten {
			f()
		}
	}
	return c, false
}
