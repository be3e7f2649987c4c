package mirror

import (
	"cmp"
	"slices"
	"sync"

	"github.com/pomeloworks/pomelo"
)

const (
	// maxDeletions is the maximum number of deleted records that are retained; it bounds their memory.
	maxDeletions = 4096
	// maxBatchBytes keeps a batch within the head of one message.
	maxBatchBytes = 32 << 10
	// recordOverhead estimates the size of a record beyond its key and value, in bytes.
	recordOverhead = 48
)

// Mirror is a copy of the store's records, safe for concurrent use.
type Mirror struct {
	mu       sync.RWMutex
	records  map[string]pomelo.Record
	position pomelo.Position
	// oldestServable is the lowest revision from which all changes are still known.
	oldestServable pomelo.Revision
	deletions      int
	onChange       []func([]pomelo.Record)
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{records: map[string]pomelo.Record{}}
}

// OnChange registers a function that is called, in order, with the records of every change; it must not call Merge.
func (m *Mirror) OnChange(f func([]pomelo.Record)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onChange = append(m.onChange, f)
}

// Position returns the state of the store up to which the copy is complete.
func (m *Mirror) Position() pomelo.Position {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.position
}

// Get returns the record of the key, or false if it is absent or deleted.
func (m *Mirror) Get(key string) (pomelo.Record, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r, ok := m.records[key]
	return r, ok && !r.Deleted
}

// Merge applies a batch and reports whether any record changed; it ignores a batch that is not newer, and one of a newer epoch that is not a full listing.
func (m *Mirror) Merge(b pomelo.RecordBatch) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.position.Before(b.Position) || b.Position.Epoch > m.position.Epoch && !b.Full {
		return false
	}
	changed := m.apply(b)
	m.advance(b)
	m.trimDeletions()
	if len(changed) > 0 {
		m.notify(changed)
	}
	return len(changed) > 0
}

// Since returns the changes after position p, at most one message's worth; false means that p is too old and its holder must list the store.
func (m *Mirror) Since(p pomelo.Position) (pomelo.RecordBatch, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if p.Epoch != m.position.Epoch || p.Revision < m.oldestServable {
		return pomelo.RecordBatch{}, false
	}
	newer := m.recordsAfter(p.Revision)
	n := countFitting(newer)
	b := pomelo.RecordBatch{Records: newer[:n], Position: m.position}
	if n < len(newer) {
		b.Position.Revision = newer[n-1].Revision
	}
	return b, true
}

// All returns every record ordered by key, including the deletions that are retained.
func (m *Mirror) All() []pomelo.Record {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]pomelo.Record, 0, len(m.records))
	for _, r := range m.records {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b pomelo.Record) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

func (m *Mirror) apply(b pomelo.RecordBatch) []pomelo.Record {
	if b.Position.Epoch > m.position.Epoch {
		return m.replace(b)
	}
	var changed []pomelo.Record
	for _, r := range b.Records {
		// The copy is complete up to its position: a record that is not newer is already known, or has been overwritten or deleted since.
		if r.Revision <= m.position.Revision {
			continue
		}
		m.put(r)
		changed = append(changed, r)
	}
	if b.Full {
		changed = append(changed, m.deleteUnlisted(b)...)
	}
	return changed
}

// replace starts a new epoch from a full listing; revisions of the previous epoch, including those of deletions, are meaningless in it.
func (m *Mirror) replace(b pomelo.RecordBatch) []pomelo.Record {
	old := m.records
	m.records = make(map[string]pomelo.Record, len(b.Records))
	m.deletions = 0
	for _, r := range b.Records {
		m.put(r)
	}
	changed := slices.Clone(b.Records)
	for k, r := range old {
		if _, ok := m.records[k]; !ok && !r.Deleted {
			changed = append(changed, pomelo.Record{Key: k, Revision: b.Position.Revision, Deleted: true})
		}
	}
	return changed
}

// advance sets the position; the deletions that a full listing omits are unknown, so older copies can't be served from here.
func (m *Mirror) advance(b pomelo.RecordBatch) {
	m.position = b.Position
	if b.Full {
		m.oldestServable = b.Position.Revision
	}
}

// deleteUnlisted marks the records that a full listing does not contain as deleted, and returns them.
func (m *Mirror) deleteUnlisted(b pomelo.RecordBatch) []pomelo.Record {
	listed := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		listed[r.Key] = true
	}
	var deleted []pomelo.Record
	for k, r := range m.records {
		if listed[k] || r.Deleted {
			continue
		}
		d := pomelo.Record{Key: k, Revision: b.Position.Revision, Deleted: true}
		m.put(d)
		deleted = append(deleted, d)
	}
	return deleted
}

func (m *Mirror) put(r pomelo.Record) {
	if m.records[r.Key].Deleted {
		m.deletions--
	}
	if r.Deleted {
		r.Value = nil
		m.deletions++
	}
	m.records[r.Key] = r
}

// trimDeletions drops the oldest half of the deletions when there are too many; copies older than the dropped ones must list the store.
func (m *Mirror) trimDeletions() {
	if m.deletions <= maxDeletions {
		return
	}
	var deleted []pomelo.Record
	for _, r := range m.records {
		if r.Deleted {
			deleted = append(deleted, r)
		}
	}
	slices.SortFunc(deleted, byRevision)
	for _, r := range deleted[:len(deleted)/2] {
		delete(m.records, r.Key)
		m.oldestServable = max(m.oldestServable, r.Revision)
		m.deletions--
	}
}

func (m *Mirror) notify(changed []pomelo.Record) {
	for _, f := range m.onChange {
		f(changed)
	}
}

// recordsAfter returns the records changed after a revision, ordered by revision.
func (m *Mirror) recordsAfter(since pomelo.Revision) []pomelo.Record {
	var out []pomelo.Record
	for _, r := range m.records {
		if r.Revision > since {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, byRevision)
	return out
}

// countFitting returns how many records fit into one batch; records of one revision stay together, and the first revision always fits.
func countFitting(records []pomelo.Record) int {
	size := 0
	last := 0
	for i, r := range records {
		size += len(r.Key) + len(r.Value) + recordOverhead
		if i > 0 && r.Revision != records[i-1].Revision {
			last = i
		}
		if size > maxBatchBytes && last > 0 {
			return last
		}
	}
	return len(records)
}

func byRevision(a, b pomelo.Record) int {
	return cmp.Compare(a.Revision, b.Revision)
}
