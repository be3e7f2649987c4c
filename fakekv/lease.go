package fakekv

import (
	"fmt"
	"maps"
	"slices"

	"github.com/pomeloworks/pomelo"
)

type lease struct {
	TTL       pomelo.Millis `json:"ttl_ms"`
	ExpiresAt pomelo.Millis `json:"until_ms"`
}

func (s *state) grant(ttl, now pomelo.Millis) (pomelo.LeaseID, error) {
	if ttl <= 0 {
		return 0, pomelo.NewFault(pomelo.KindBadRequest, "a lease needs a positive ttl_ms", "send ttl_ms of 1 or more")
	}
	s.lastLease++
	s.leases[s.lastLease] = lease{TTL: ttl, ExpiresAt: now + ttl}
	return s.lastLease, nil
}

func (s *state) renew(id pomelo.LeaseID, now pomelo.Millis) error {
	if err := s.checkLease(id); err != nil {
		return err
	}
	l := s.leases[id]
	l.ExpiresAt = now + l.TTL
	s.leases[id] = l
	return nil
}

func (s *state) checkLease(id pomelo.LeaseID) error {
	if _, ok := s.leases[id]; ok {
		return nil
	}
	return pomelo.NewFault(
		pomelo.KindLeaseExpired,
		fmt.Sprintf("lease %d is gone", id),
		"grant a new lease and write its records again",
	)
}

// revoke is idempotent: an expired or revoked lease has no records left to delete.
func (s *state) revoke(id pomelo.LeaseID) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	for _, k := range slices.Sorted(maps.Keys(s.records)) {
		if s.records[k].Lease == id {
			s.remove(k)
		}
	}
}

func (s *state) expireLeases(now pomelo.Millis) {
	expired := []pomelo.LeaseID{}
	for id, l := range s.leases {
		if l.ExpiresAt <= now {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		s.revoke(id)
	}
}
