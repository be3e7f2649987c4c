package fakekv

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pomeloworks/pomelo"
)

type watcher struct {
	prefix   string
	since    pomelo.Revision
	deadline pomelo.Millis
	dropped  <-chan struct{}
	changed  <-chan struct{}
}

func (s *Server) watch(r *http.Request) (any, error) {
	w, err := s.newWatcher(r)
	if err != nil {
		return nil, err
	}
	for {
		l, err := s.poll(w)
		if err != nil || len(l.Records) > 0 {
			return l, err
		}
		left := w.deadline - s.clock.Now()
		if left <= 0 {
			return l, nil
		}
		if err := s.wait(r.Context(), *w, left); err != nil {
			return nil, err
		}
	}
}

func (s *Server) newWatcher(r *http.Request) (*watcher, error) {
	since, err := numberParam(r, "since")
	if err != nil {
		return nil, err
	}
	wait, err := numberParam(r, "wait_ms")
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &watcher{
		prefix:   r.URL.Query().Get("prefix"),
		since:    pomelo.Revision(since),
		deadline: s.clock.Now() + pomelo.Millis(wait),
		dropped:  s.watchesDropped,
	}, nil
}

func (s *Server) poll(w *watcher) (pomelo.Listing, error) {
	var l pomelo.Listing
	err := s.withState(func(pomelo.Millis) (err error) {
		w.changed = s.changed
		l, err = s.state.changes(w.prefix, w.since)
		l.Epoch = s.epoch
		return err
	})
	return l, err
}

// wait returns when the state has changed, the time is over, or the connection is to be closed.
func (s *Server) wait(ctx context.Context, w watcher, left pomelo.Millis) error {
	sleep, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-w.changed:
		case <-w.dropped:
		case <-sleep.Done():
		}
		cancel()
	}()
	_ = s.clock.Sleep(sleep, left)
	select {
	case <-w.dropped:
		return errCloseConnection
	case <-ctx.Done():
		return errCloseConnection
	default:
		return nil
	}
}

func numberParam(r *http.Request, name string) (int64, error) {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil || n < 0 {
		return 0, pomelo.NewFault(pomelo.KindBadRequest, "unreadable "+name, "send "+name+" as a number of 0 or more")
	}
	return n, nil
}
