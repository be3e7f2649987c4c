package fakekv

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pomeloworks/pomelo"
)

// history holds the latest events in order of revision.
type history struct {
	limit  int
	events []pomelo.Record
	// compacted is the revision up to which events have been discarded.
	compacted pomelo.Revision
}

func (h *history) add(r pomelo.Record) {
	h.events = append(h.events, r)
	if len(h.events) <= h.limit {
		return
	}
	h.compacted = h.events[0].Revision
	h.events[0] = pomelo.Record{}
	h.events = h.events[1:]
}

func (h *history) after(since pomelo.Revision, prefix string) []pomelo.Record {
	first := sort.Search(len(h.events), func(i int) bool {
		return h.events[i].Revision > since
	})
	found := []pomelo.Record{}
	for _, e := range h.events[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			found = append(found, e)
		}
	}
	return found
}

// changes also refuses a revision above the store's own: the store has then been restored to an older state.
func (s *state) changes(prefix string, since pomelo.Revision) (pomelo.Listing, error) {
	if since < s.history.compacted || since > s.revision {
		return pomelo.Listing{}, pomelo.NewFault(
			pomelo.KindWatchCompacted,
			fmt.Sprintf("changes are kept from revision %d to %d, not after %d", s.history.compacted, s.revision, since),
			"list the prefix and watch from the listing's revision",
		)
	}
	return pomelo.Listing{Records: s.history.after(since, prefix), Revision: s.revision}, nil
}
