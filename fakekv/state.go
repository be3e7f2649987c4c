package fakekv

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pomeloworks/pomelo"
)

const maxValueBytes = 1 << 20 // bytes

// state is the content of the store; it is guarded by the Server's mutex.
type state struct {
	revision  pomelo.Revision
	records   map[string]pomelo.Record
	leases    map[pomelo.LeaseID]lease
	lastLease pomelo.LeaseID
	history   history
}

func newState(events int) *state {
	return &state{
		records: map[string]pomelo.Record{},
		leases:  map[pomelo.LeaseID]lease{},
		history: history{limit: events},
	}
}

func (s *state) get(key string) (pomelo.Record, error) {
	r, ok := s.records[key]
	if !ok {
		return r, notFound(key)
	}
	return r, nil
}

func (s *state) list(prefix string) pomelo.Listing {
	l := pomelo.Listing{Records: []pomelo.Record{}, Revision: s.revision}
	for k, r := range s.records {
		if strings.HasPrefix(k, prefix) {
			l.Records = append(l.Records, r)
		}
	}
	slices.SortFunc(l.Records, func(a, b pomelo.Record) int {
		return strings.Compare(a.Key, b.Key)
	})
	return l
}

func (s *state) put(w pomelo.Write) (pomelo.Record, error) {
	if err := s.check(w); err != nil {
		return pomelo.Record{}, err
	}
	if w.Delete {
		return s.remove(w.Key), nil
	}
	s.revision++
	r := pomelo.Record{Key: w.Key, Value: w.Value, Revision: s.revision, Lease: w.Lease}
	s.records[w.Key] = r
	s.history.add(r)
	return r, nil
}

func (s *state) check(w pomelo.Write) error {
	if w.Key == "" {
		return pomelo.NewFault(pomelo.KindBadRequest, "the write has no key", "name a key")
	}
	if len(w.Value) > maxValueBytes {
		return tooLarge()
	}
	current := s.records[w.Key].Revision
	if current != w.Expected {
		return conflict(w, current)
	}
	if w.Delete && current == 0 {
		return notFound(w.Key)
	}
	if w.Lease != 0 && !w.Delete {
		return s.checkLease(w.Lease)
	}
	return nil
}

func (s *state) remove(key string) pomelo.Record {
	s.revision++
	delete(s.records, key)
	r := pomelo.Record{Key: key, Revision: s.revision, Deleted: true}
	s.history.add(r)
	return r
}

func notFound(key string) error {
	return pomelo.NewFault(pomelo.KindNotFound, fmt.Sprintf("no record %q", key), "create it with expected revision 0")
}

func conflict(w pomelo.Write, current pomelo.Revision) error {
	return pomelo.NewFault(
		pomelo.KindConflict,
		fmt.Sprintf("record %q is at revision %d, not %d", w.Key, current, w.Expected),
		"read the record again and repeat the change on it",
	)
}

func tooLarge() error {
	return pomelo.NewFault(
		pomelo.KindTooLarge,
		fmt.Sprintf("a value is at most %d bytes", maxValueBytes),
		"split the value over several records",
	)
}
