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
	// defaultMaxPending bounds the buffered lines, in bytes.
	defaultMaxPending = 256 << 10
	// defaultRate bounds the accepted lines, in bytes a second; a line has some 300 bytes.
	defaultRate = 60 << 10
	// defaultBurst is the size of the token bucket, in bytes.
	defaultBurst = 256 << 10
	// flushInterval is the time between two writes, each of all buffered lines, in milliseconds.
	flushInterval = pomelo.Millis(100)
	// reportInterval is the minimum time between two reports of dropped lines, in milliseconds.
	reportInterval = pomelo.Millis(1_000)
	eventField     = " event="
)

// Spool is an io.Writer that never blocks; it drops lines over its limits and counts them by event.
type Spool struct {
	output     io.Writer
	clock      pomelo.MonotonicClock
	maxPending int
	rate       float64
	burst      float64

	mu         sync.Mutex
	pending    []byte
	tokens     float64
	refilledAt pomelo.Millis
	dropped    map[string]int
	reportedAt pomelo.Millis
}

var _ io.Writer = (*Spool)(nil)

// New returns a spool that buffers lines for out; they are written by Run or Flush.
func New(out io.Writer, clock pomelo.MonotonicClock, opts ...func(*Spool)) *Spool {
	s := &Spool{output: out, clock: clock, maxPending: defaultMaxPending, rate: defaultRate, burst: defaultBurst, dropped: map[string]int{}}
	for _, o := range opts {
		o(s)
	}
	s.tokens = s.burst
	s.refilledAt = clock.Monotonic()
	return s
}

// WithBounds sets the buffer size in bytes, and the rate in bytes a second and the burst in bytes of the lines accepted.
func WithBounds(maxPending int, rate, burst float64) func(*Spool) {
	return func(s *Spool) {
		s.maxPending = maxPending
		s.rate = rate
		s.burst = burst
	}
}

// Write buffers or drops one line; it always succeeds.
func (s *Spool) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill()
	if len(s.pending)+len(line) > s.maxPending || float64(len(line)) > s.tokens {
		s.dropped[eventOf(line)]++
		return len(line), nil
	}
	s.tokens -= float64(len(line))
	s.pending = append(s.pending, line...)
	return len(line), nil
}

func (s *Spool) refill() {
	const millisPerSecond = 1000
	now := s.clock.Monotonic()
	s.tokens = min(s.burst, s.tokens+s.rate*float64(now-s.refilledAt)/millisPerSecond)
	s.refilledAt = now
}

// Run calls Flush periodically until ctx is done.
func (s *Spool) Run(ctx context.Context) {
	for s.clock.Sleep(ctx, flushInterval) == nil {
		s.Flush()
	}
}

// Flush writes the buffered lines, and periodically the number of dropped lines; a failed write is counted as one dropped line.
func (s *Spool) Flush() {
	b := s.takePending()
	if len(b) == 0 {
		return
	}
	if _, err := s.output.Write(b); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dropped["write_failed"]++
	}
}

// FlushWithin is Flush, and gives up after d milliseconds if the output takes nothing.
func (s *Spool) FlushWithin(d pomelo.Millis) {
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		s.Flush()
	}()
	select {
	case <-flushed:
	case <-time.After(d.Duration()):
	}
}

func (s *Spool) takePending() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := append(s.pending, s.dropReport()...)
	s.pending = nil
	return b
}

// dropReport formats one line for each event whose lines were dropped.
func (s *Spool) dropReport() []byte {
	now := s.clock.Monotonic()
	if len(s.dropped) == 0 || now-s.reportedAt < reportInterval {
		return nil
	}
	s.reportedAt = now
	var b strings.Builder
	stamp := time.UnixMilli(int64(s.clock.Now())).UTC().Format(time.RFC3339Nano)
	for event, n := range s.dropped {
		fmt.Fprintf(&b, "ts=%s level=warn event=log_lines_dropped of=%s count=%d\n", stamp, event, n)
	}
	clear(s.dropped)
	return []byte(b.String())
}

// eventOf returns the event name of a logfmt line.
func eventOf(line []byte) string {
	_, rest, ok := strings.Cut(string(line), eventField)
	if !ok {
		return "unknown"
	}
	event, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	return event
}
