package events

import (
	"slices"
	"sort"

	"github.com/pomeloworks/pomelo"
)

// Defaults of the limits.
const (
	// defaultMaxRecords holds the changes of a simultaneous start of 300 nodes with three records each.
	defaultMaxRecords = 1_024
	// defaultMaxBytes is the size of keys and values that are kept; a member's record has about 470 bytes.
	defaultMaxBytes = 512 << 10
	// defaultMaxBatchBytes leaves room for the encoding in a message of 256 KiB.
	defaultMaxBatchBytes = 192 << 10
	// recordOverhead is the assumed size of a record without key and value, in bytes.
	recordOverhead = 64
)

// Log holds the last changes in the order of their revisions; it is not safe for concurrent use.
type Log struct {
	maxRecords    int
	maxBytes      int
	maxBatchBytes int
	records       []pomelo.Record
	bytes         int
	// The log holds all changes after floor up to head, both of the same epoch.
	floor pomelo.Position
	head  pomelo.Position
}

// New returns a log that is complete from the position 0 on, at which there are no changes.
func New(opts ...func(*Log)) *Log {
	l := &Log{maxRecords: defaultMaxRecords, maxBytes: defaultMaxBytes, maxBatchBytes: defaultMaxBatchBytes}
	for _, o := range opts {
		o(l)
	}
	return l
}

// WithLimits sets the maximum number of kept records, and the maximum size in bytes of all records and of a batch.
func WithLimits(records, bytes, batchBytes int) func(*Log) {
	return func(l *Log) {
		l.maxRecords = records
		l.maxBytes = bytes
		l.maxBatchBytes = batchBytes
	}
}

// Reset removes all changes; the log is complete from the position on.
func (l *Log) Reset(at pomelo.Position) {
	l.records = nil
	l.bytes = 0
	l.floor = at
	l.head = at
}

// Append adds the changes after the head, in the order of their revisions; they must be all changes up to the position. Changes of another epoch reset the log.
func (l *Log) Append(records []pomelo.Record, upTo pomelo.Position) {
	if upTo.Epoch != l.head.Epoch {
		l.Reset(upTo)
		return
	}
	for _, r := range records {
		if r.Revision <= l.head.Revision || r.Revision > upTo.Revision {
			continue
		}
		l.records = append(l.records, r)
		l.bytes += sizeOf(r)
	}
	l.head.Revision = max(l.head.Revision, upTo.Revision)
	l.evict()
}

// evict removes the oldest revisions until the limits are kept; a revision is removed with all its records.
func (l *Log) evict() {
	n := 0
	for n < len(l.records) && (len(l.records)-n > l.maxRecords || l.bytes > l.maxBytes) {
		oldest := l.records[n].Revision
		for n < len(l.records) && l.records[n].Revision == oldest {
			l.bytes -= sizeOf(l.records[n])
			n++
		}
		l.floor.Revision = oldest
	}
	l.records = slices.Delete(l.records, 0, n)
}

// Head returns the position up to which the log has all changes.
func (l *Log) Head() pomelo.Position {
	return l.head
}

// After returns the changes after the position, or as many whole revisions of them as fit in a batch; it reports false if the log does not hold all of them, or if a single revision is larger than a batch.
func (l *Log) After(at pomelo.Position) (pomelo.RecordBatch, bool) {
	none := pomelo.RecordBatch{Position: l.head}
	if at.Epoch != l.head.Epoch || at.Revision < l.floor.Revision {
		return none, false
	}
	first := sort.Search(len(l.records), func(i int) bool { return l.records[i].Revision > at.Revision })
	rest := l.records[first:]
	n := l.prefixWithin(rest)
	if n == len(rest) {
		return pomelo.RecordBatch{Records: slices.Clone(rest), Position: l.head}, true
	}
	if n == 0 {
		return none, false
	}
	position := pomelo.Position{Epoch: l.head.Epoch, Revision: rest[n-1].Revision}
	return pomelo.RecordBatch{Records: slices.Clone(rest[:n]), Position: position}, true
}

// prefixWithin returns how many of the records fit in a batch, in whole revisions.
func (l *Log) prefixWithin(records []pomelo.Record) int {
	size, whole := 0, 0
	for i, r := range records {
		if i > 0 && r.Revision != records[i-1].Revision {
			whole = i
		}
		if size += sizeOf(r); size > l.maxBatchBytes {
			return whole
		}
	}
	return len(records)
}

func sizeOf(r pomelo.Record) int {
	return len(r.Key) + len(r.Value) + recordOverhead
}
