package evict

import (
	"context"
	"math"
	"slices"
	"sync"

	"github.com/pomeloworks/pomelo"
)

// Times in milliseconds.
const (
	// minStall is the time without progress from which a transfer may be ended for want of memory.
	minStall = pomelo.Millis(1_000)
	// minNew is the time that a new connection has for its first request when descriptors run short.
	minNew = pomelo.Millis(100)
	// scanInterval is the minimum time between two searches that find nothing to end.
	scanInterval = pomelo.Millis(50)
	// roomInterval is the time between two searches for a descriptor.
	roomInterval = pomelo.Millis(5)
	// logInterval is the minimum time between two log lines of one reason.
	logInterval = pomelo.Millis(1_000)
)

const (
	// batchFraction is the fraction of the connections that is ended at once when descriptors run short.
	batchFraction = 16
	// batchBytes is the least memory that is given back at once.
	batchBytes = 1 << 20
)

// Table holds the open connections of one listener; it is safe for concurrent use.
type Table struct {
	clock   pomelo.Clock
	log     pomelo.Logger
	metrics pomelo.Metrics
	name    string
	limit   int
	mu      sync.Mutex
	conns   map[pomelo.ClientConn]bool
	// fruitless is the time of the last search that found nothing.
	fruitless pomelo.Millis
	lines     map[string]*line
}

// line is a log line that stands for many events.
type line struct {
	loggedAt pomelo.Millis
	count    int
}

// New returns a table for at most limit connections of the listener with this name.
func New(clock pomelo.Clock, log pomelo.Logger, metrics pomelo.Metrics, name string, limit int) *Table {
	return &Table{clock: clock, log: log, metrics: metrics, name: name, limit: limit, conns: map[pomelo.ClientConn]bool{}, lines: map[string]*line{}}
}

// Len returns the number of open connections.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// Add lists the connection as soon as there is room for it; without room it ends idle connections, and else waits until ctx ends.
func (t *Table) Add(ctx context.Context, c pomelo.ClientConn) error {
	for !t.tryAdd(c) {
		t.end(t.oldest(idleFirst, minNew, 0), max(1, t.limit/batchFraction), math.MaxInt64, "descriptors")
		if t.tryAdd(c) {
			return nil
		}
		t.metrics.Count("evict."+t.name+".waits", 1)
		if err := t.clock.Sleep(ctx, roomInterval); err != nil {
			return err
		}
	}
	return nil
}

func (t *Table) tryAdd(c pomelo.ClientConn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.limit {
		return false
	}
	t.conns[c] = true
	return true
}

// Remove takes a closed connection off the list.
func (t *Table) Remove(c pomelo.ClientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// Each calls f with each open connection.
func (t *Table) Each(f func(c pomelo.ClientConn)) {
	for _, c := range t.list() {
		f(c)
	}
}

// Reclaim ends the transfers that have stalled longest until they give back this many bytes, and idle connections after them.
func (t *Table) Reclaim(bytes int64) {
	if !t.mayScan() {
		return
	}
	if t.end(t.oldest(transfersFirst, minStall, minStall), t.limit, max(bytes, batchBytes), "memory") == 0 {
		t.mu.Lock()
		t.fruitless = t.clock.Now()
		t.mu.Unlock()
	}
}

// EndRequests ends the requests that have stalled, and the waits for one.
func (t *Table) EndRequests() {
	all := slices.DeleteFunc(t.oldest(idleFirst, minStall, minStall), func(c candidate) bool { return c.wait.Kind == pomelo.WaitReader })
	t.end(all, t.limit, math.MaxInt64, "stop")
}

func (t *Table) mayScan() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock.Now()-t.fruitless >= scanInterval
}

// candidate is a connection that may be ended.
type candidate struct {
	conn pomelo.ClientConn
	wait pomelo.ClientWait
}

func idleFirst(w pomelo.ClientWait) bool {
	return w.Kind == pomelo.WaitIdle || w.Kind == pomelo.WaitNew
}

func transfersFirst(w pomelo.ClientWait) bool { return !idleFirst(w) }

// oldest returns the connections that have waited for their first request for minNew, for a further one for minIdle, or stalled for minStall: the first kind before the others, and each longest first.
func (t *Table) oldest(isFirst func(pomelo.ClientWait) bool, minNew, minIdle pomelo.Millis) []candidate {
	now := t.clock.Now()
	minimum := map[pomelo.WaitKind]pomelo.Millis{pomelo.WaitNew: minNew, pomelo.WaitIdle: minIdle, pomelo.WaitRequest: minStall, pomelo.WaitReader: minStall}
	var out []candidate
	for _, c := range t.list() {
		w := c.Wait()
		if w.Kind != pomelo.WaitNone && now-w.Since >= minimum[w.Kind] {
			out = append(out, candidate{conn: c, wait: w})
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		switch first := isFirst(a.wait); {
		case first == isFirst(b.wait):
			return int(a.wait.Since - b.wait.Since)
		case first:
			return -1
		default:
			return 1
		}
	})
	return out
}

func (t *Table) list() []pomelo.ClientConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]pomelo.ClientConn, 0, len(t.conns))
	for c := range t.conns {
		out = append(out, c)
	}
	return out
}

// end ends candidates until there are most of them or they give back this many bytes, and returns how many it ended.
func (t *Table) end(all []candidate, most int, bytes int64, reason string) int {
	ended := 0
	for _, c := range all {
		if ended == most || bytes <= 0 {
			break
		}
		if !c.conn.Evict(c.wait) {
			continue
		}
		ended++
		bytes -= c.wait.Bytes
		t.record(c.wait, reason)
	}
	return ended
}

// record counts the end of a wait, and logs a line for all those of a second.
func (t *Table) record(w pomelo.ClientWait, reason string) {
	t.metrics.Count("evict."+t.name+"."+reason+"."+w.Kind.String(), 1)
	t.mu.Lock()
	key := reason + "." + w.Kind.String()
	l := t.lines[key]
	if l == nil {
		l = &line{}
		t.lines[key] = l
	}
	l.count++
	now := t.clock.Now()
	if now-l.loggedAt < logInterval {
		t.mu.Unlock()
		return
	}
	count := l.count
	*l = line{loggedAt: now}
	open := len(t.conns)
	t.mu.Unlock()
	t.log.Warn("client_evicted", "listener", t.name, "reason", reason, "wait", w.Kind.String(), "stalled_ms", now-w.Since, "bytes", w.Bytes, "count", count, "open", open, "max", t.limit)
}
