package view

import (
	"encoding/json"
	"strings"

	"github.com/pomeloworks/pomelo"
)

func decodeAll(records []pomelo.Record, log pomelo.Logger) []pomelo.MemberRecord {
	var out []pomelo.MemberRecord
	for _, r := range records {
		if c, ok := decode(r, log); ok {
			out = append(out, c)
		}
	}
	return out
}

// decode returns the change of a member that the record describes; false if the record can't be read.
func decode(r pomelo.Record, log pomelo.Logger) (pomelo.MemberRecord, bool) {
	c := pomelo.MemberRecord{Revision: r.Revision, Deleted: r.Deleted}
	if r.Deleted {
		c.Member.VM = strings.TrimPrefix(r.Key, pomelo.PrefixMember)
		return c, true
	}
	err := json.Unmarshal(r.Value, &c.Member)
	if err != nil || pomelo.PrefixMember+c.Member.VM != r.Key {
		log.Warn("member_unreadable", "key", r.Key, "revision", r.Revision)
		return c, false
	}
	return c, true
}
