package fakeup

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pomeloworks/pomelo"
)

const (
	announceRetryDelay = pomelo.Millis(200)
	// announceInterval is the time between announcements, which are repeated so that a restarted node discovers its upstream.
	announceInterval = pomelo.Millis(2000)
	announceTimeout  = time.Second
)

func (s *Server) announce(ctx context.Context) error {
	if s.spec.NodeURL == "" {
		return nil
	}
	for {
		wait := announceRetryDelay
		if s.currentFault().Down || s.sendAnnouncement(ctx, http.MethodPost) {
			wait = announceInterval
		}
		if s.clock.Sleep(ctx, wait) != nil {
			return nil
		}
	}
}

func (s *Server) withdraw() {
	if s.spec.NodeURL != "" {
		s.sendAnnouncement(context.Background(), http.MethodDelete)
	}
}

func (s *Server) sendAnnouncement(ctx context.Context, method string) bool {
	u := pomelo.Upstream{Service: s.spec.Service, Address: s.Addr(), Slots: s.spec.Slots, Connections: s.spec.Connections}
	body, err := json.Marshal(u)
	if err != nil {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(limited, method, s.spec.NodeURL+pomelo.PathAnnounce, bytes.NewReader(body))
	if err != nil {
		return false
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := s.client.Do(q)
	if err != nil {
		return false
	}
	defer func() { _ = a.Body.Close() }()
	_, _ = io.Copy(io.Discard, a.Body)
	return isSuccess(a.StatusCode)
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
