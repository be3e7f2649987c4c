package fakekv

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
)

type snapshot struct {
	Revision  pomelo.Revision          `json:"revision"`
	Records   map[string]pomelo.Record `json:"records"`
	Leases    map[pomelo.LeaseID]lease `json:"leases"`
	LastLease pomelo.LeaseID           `json:"last_lease"`
}

// Snapshot returns the store's state without its history, as JSON that Restore accepts.
func (s *Server) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, err := json.Marshal(snapshot{
		Revision:  s.state.revision,
		Records:   s.state.records,
		Leases:    s.state.leases,
		LastLease: s.state.lastLease,
	})
	return data, errors.Wrap(err, "snapshot of the store")
}

// Restore replaces the state with one that Snapshot returned, including its revision and lease ids; the history is empty afterwards.
func (s *Server) Restore(data []byte) error {
	var p snapshot
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Wrap(err, "restore the store: pass what Snapshot returned")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := newState(s.state.history.limit)
	next.revision = p.Revision
	next.lastLease = p.LastLease
	next.history.compacted = p.Revision
	if p.Records != nil {
		next.records = p.Records
	}
	if p.Leases != nil {
		next.leases = p.Leases
	}
	s.state = next
	s.epoch++
	s.wake()
	return nil
}
