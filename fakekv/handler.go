package fakekv

import (
	"net/http"

	"github.com/pomeloworks/pomelo"
)

type grantRequest struct {
	TTL pomelo.Millis `json:"ttl_ms"`
}

// leaseMessage contains a lease id, in requests and responses.
type leaseMessage struct {
	Lease pomelo.LeaseID `json:"lease"`
}

func (s *Server) get(r *http.Request) (any, error) {
	var found pomelo.Record
	err := s.withState(func(pomelo.Millis) (err error) {
		found, err = s.state.get(r.URL.Query().Get("key"))
		return err
	})
	return found, err
}

func (s *Server) list(r *http.Request) (any, error) {
	var l pomelo.Listing
	err := s.withState(func(pomelo.Millis) error {
		l = s.state.list(r.URL.Query().Get("prefix"))
		l.Epoch = s.epoch
		return nil
	})
	return l, err
}

func (s *Server) put(r *http.Request) (any, error) {
	var w pomelo.Write
	if err := decode(r, &w); err != nil {
		return nil, err
	}
	var written pomelo.Record
	err := s.withState(func(pomelo.Millis) (err error) {
		written, err = s.state.put(w)
		return err
	})
	return written, err
}

func (s *Server) grant(r *http.Request) (any, error) {
	var g grantRequest
	if err := decode(r, &g); err != nil {
		return nil, err
	}
	var m leaseMessage
	err := s.withState(func(now pomelo.Millis) (err error) {
		m.Lease, err = s.state.grant(g.TTL, now)
		return err
	})
	return m, err
}

func (s *Server) renew(r *http.Request) (any, error) {
	var m leaseMessage
	if err := decode(r, &m); err != nil {
		return nil, err
	}
	err := s.withState(func(now pomelo.Millis) error {
		return s.state.renew(m.Lease, now)
	})
	return m, err
}

func (s *Server) revoke(r *http.Request) (any, error) {
	var m leaseMessage
	if err := decode(r, &m); err != nil {
		return nil, err
	}
	err := s.withState(func(pomelo.Millis) error {
		s.state.revoke(m.Lease)
		return nil
	})
	return m, err
}
