package mirror

import (
	"cmp"
	"slices"
	"sync"

	"github.com/pomeloworks/pomelo"
)

const (
	// keptDeletions bounds the memory that deleted records take.
	keptDeletions = 4096
	// batchBytes keeps a batch within one message's head.
	batchBytes = 32 << 10
	// recordOverhead estimates what a record takes beside its key and value, in bytes.
	recordOverhead = 48
)

// Mirror is a copy of the store's records, safe for concurrent use.
type Mirror struct {
	mu        sync.RWMutex
	records   map[string]pomelo.Record
	position  pomelo.Position
	floor     pomelo.Revision
	deletions int
	watchers  []func([]pomelo.Record)
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{records: map[string]pomelo.Record{}}
}

// OnChange adds a function that is called, in order, with the records of every change; it must not call the mirror's Merge.
func (m *Mirror) OnChange(f func([]pomelo.Record)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watchers = append(m.watchers, f)
}

// Position is the state of the store up to which the copy is complete.
func (m *Mirror) Position() pomelo.Position {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.position
}

// Get returns a record that is not deleted.
func (m *Mirror) Get(key string) (pomelo.Record, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r, ok := m.records[key]
	return r, ok && !r.Deleted
}

// Merge takes a batch in and reports whether anything was new; a batch that is not newer is left out, and a newer epoch begins with a full batch.
func (m *Mirror) Merge(b pomelo.RecordBatch) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.position.Before(b.Position) || b.Position.Epoch > m.position.Epoch && !b.Full {
		return false
	}
	changed := m.apply(b)
	m.advance(b)
	m.trim()
	if len(changed) > 0 {
		m.tell(changed)
	}
	return len(changed) > 0
}

// Since returns what a copy at position p lacks, at most one message's worth; false means that p is too old and must list the store.
func (m *Mirror) Since(p pomelo.Position) (pomelo.RecordBatch, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if p.Epoch != m.position.Epoch || p.Revision < m.floor {
		return pomelo.RecordBatch{}, false
	}
	newer := m.newer(p.Revision)
	n := fitting(newer)
	b := pomelo.RecordBatch{Records: newer[:n], Position: m.position}
	if n < len(newer) {
		b.Position.Revision = newer[n-1].Revision
	}
	return b, true
}

// All returns every record, ordered by key, with the deletions that are still known.
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
		// The copy is complete up to its position: what is not newer is known, or was undone since.
		if r.Revision <= m.position.Revision {
			continue
		}
		m.put(r)
		changed = append(changed, r)
	}
	if b.Full {
		changed = append(changed, m.absent(b)...)
	}
	return changed
}

// replace begins a new epoch with a whole listing; revisions of the old epoch, deletions among them, mean nothing in it.
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

// advance moves the position; deletions that a listing skipped are not known, so copies older than it can't be served from here.
func (m *Mirror) advance(b pomelo.RecordBatch) {
	m.position = b.Position
	if b.Full {
		m.floor = b.Position.Revision
	}
}

// absent deletes what a whole listing does not hold.
func (m *Mirror) absent(b pomelo.RecordBatch) []pomelo.Record {
	listed := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		listed[r.Key] = true
	}
	var gone []pomelo.Record
	for k, r := range m.records {
		if listed[k] || r.Deleted {
			continue
		}
		d := pomelo.Record{Key: k, Revision: b.Position.Revision, Deleted: true}
		m.put(d)
		gone = append(gone, d)
	}
	return gone
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

// trim forgets the oldest half of the deletions when there are too many; copies older than them must list the store.
func (m *Mirror) trim() {
	if m.deletions <= keptDeletions {
		return
	}
	var gone []pomelo.Record
	for _, r := range m.records {
		if r.Deleted {
			gone = append(gone, r)
		}
	}
	slices.SortFunc(gone, byRevision)
	for _, r := range gone[:len(gone)/2] {
		delete(m.records, r.Key)
		m.floor = max(m.floor, r.Revision)
		m.deletions--
	}
}

func (m *Mirror) tell(changed []pomelo.Record) {
	for _, w := range m.watchers {
		w(changed)
	}
}

func (m *Mirror) newer(since pomelo.Revision) []pomelo.Record {
	var out []pomelo.Record
	for _, r := range m.records {
		if r.Revision > since {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, byRevision)
	return out
}

// fitting counts the records that fit a batch; records of one revision stay together, and the first always fits.
func fitting(records []pomelo.Record) int {
	size := 0
	last := 0
	for i, r := range records {
		size += len(r.Key) + len(r.Value) + recordOverhead
		if i > 0 && r.Revision != records[i-1].Revision {
			last = i
		}
		if size > batchBytes && last > 0 {
			return last
		}
	}
	return len(records)
}

func byRevision(a, b pomelo.Record) int {
	return cmp.Compare(a.Revision, b.Revision)
}
