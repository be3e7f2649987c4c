package fakeup

import "github.com/pomeloworks/pomelo"

const eventLimit = 1 << 20

// eventLog is guarded by the server's mutex.
type eventLog struct {
	events []pomelo.FakeEvent
	counts pomelo.FakeCounters
}

func (l *eventLog) add(e pomelo.FakeEvent) {
	if len(l.events) >= eventLimit {
		l.counts.EventsDropped++
		return
	}
	l.events = append(l.events, e)
}

// Events returns a copy of the execution log, oldest event first.
func (s *Server) Events() []pomelo.FakeEvent {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]pomelo.FakeEvent{}, s.log.events...)
}

// Counters returns the counts since the start.
func (s *Server) Counters() pomelo.FakeCounters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.log.counts
}

func (s *Server) count(change func(*pomelo.FakeCounters)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(&s.log.counts)
}

func (s *Server) countRefusedConnection() {
	s.count(func(c *pomelo.FakeCounters) { c.ConnectionsRefused++ })
}

// record logs and counts the event under one lock, so that the log and the counters agree.
func (s *Server) record(e pomelo.FakeEvent, kind pomelo.FakeEventKind) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e.Kind = kind
	e.At = s.clock.Now()
	s.log.add(e)
	c := &s.log.counts
	switch kind {
	case pomelo.FakeEventStart:
		c.Started++
		c.Running++
		c.MaxRunning = max(c.MaxRunning, c.Running)
	case pomelo.FakeEventEnd:
		c.Finished++
		c.Running--
	case pomelo.FakeEventCancelled:
		c.Cancelled++
		c.Running--
	}
}
