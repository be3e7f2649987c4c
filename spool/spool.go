package spool

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/pomeloworks/pomelo"
)

const (
	// defaultBytes bounds what waits to be written.
	defaultBytes = 256 << 10
	// defaultRate bounds what is written, in bytes a second; a line has some 300 bytes.
	defaultRate = 60 << 10
	// defaultBurst is what may be written at once, in bytes.
	defaultBurst = 256 << 10
	// flushEvery gathers lines into one write, in milliseconds.
	flushEvery = pomelo.Millis(100)
	// reportEvery is the pause between two lines on what was dropped, in milliseconds.
	reportEvery = pomelo.Millis(1_000)
	eventField  = " event="
)

// Spool is an io.Writer that never blocks; lines over its bounds are dropped and counted by event.
type Spool struct {
	out   io.Writer
	clock pomelo.MonotonicClock
	bytes int
	rate  float64
	burst float64

	mu       sync.Mutex
	waiting  []byte
	allowed  float64
	filled   pomelo.Millis
	dropped  map[string]int
	reported pomelo.Millis
}

var _ io.Writer = (*Spool)(nil)

// New returns a spool in front of out; nothing is written before Run.
func New(out io.Writer, clock pomelo.MonotonicClock, opts ...func(*Spool)) *Spool {
	s := &Spool{out: out, clock: clock, bytes: defaultBytes, rate: defaultRate, burst: defaultBurst, dropped: map[string]int{}}
	for _, o := range opts {
		o(s)
	}
	s.allowed = s.burst
	s.filled = clock.Monotonic()
	return s
}

// WithBounds sets how many bytes may wait, and how many are taken a second and at once.
func WithBounds(waiting int, rate, burst float64) func(*Spool) {
	return func(s *Spool) {
		s.bytes = waiting
		s.rate = rate
		s.burst = burst
	}
}

// Write takes one line, or drops it; it always succeeds.
func (s *Spool) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fill()
	if len(s.waiting)+len(line) > s.bytes || float64(len(line)) > s.allowed {
		s.dropped[eventOf(line)]++
		return len(line), nil
	}
	s.allowed -= float64(len(line))
	s.waiting = append(s.waiting, line...)
	return len(line), nil
}

func (s *Spool) fill() {
	const millisPerSecond = 1000
	now := s.clock.Monotonic()
	s.allowed = min(s.burst, s.allowed+s.rate*float64(now-s.filled)/millisPerSecond)
	s.filled = now
}

// Run writes until the context ends.
func (s *Spool) Run(ctx context.Context) {
	for s.clock.Sleep(ctx, flushEvery) == nil {
		s.Flush()
	}
}

// Flush writes what waits, and from time to time a line on what was dropped; a failed write is counted as dropped.
func (s *Spool) Flush() {
	b := s.take()
	if len(b) == 0 {
		return
	}
	if _, err := s.out.Write(b); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dropped["write_failed"]++
	}
}

func (s *Spool) take() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := append(s.waiting, s.report()...)
	s.waiting = nil
	return b
}

// report is one line for each event of which lines were dropped.
func (s *Spool) report() []byte {
	now := s.clock.Monotonic()
	if len(s.dropped) == 0 || now-s.reported < reportEvery {
		return nil
	}
	s.reported = now
	var b strings.Builder
	stamp := time.UnixMilli(int64(s.clock.Now())).UTC().Format(time.RFC3339Nano)
	for event, n := range s.dropped {
		fmt.Fprintf(&b, "ts=%s level=warn event=log_lines_dropped of=%s count=%d\n", stamp, event, n)
	}
	clear(s.dropped)
	return []byte(b.String())
}

// eventOf finds the event of a key=value line.
func eventOf(line []byte) string {
	_, rest, ok := strings.Cut(string(line), eventField)
	if !ok {
		return "unknown"
	}
	event, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	return event
}
