package mirror_test

import (
	"fmt"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/mirror"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// fakeStore models the store: every write gets the next revision.
type fakeStore struct {
	epoch    int64
	revision pomelo.Revision
	records  map[string]pomelo.Record
	log      []pomelo.Record
}

func (s *fakeStore) write(t *rapid.T) {
	s.revision++
	r := pomelo.Record{
		Key:      fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key")),
		Value:    []byte(fmt.Sprint(s.revision)),
		Revision: s.revision,
		Deleted:  rapid.Bool().Draw(t, "deleted"),
	}
	s.records[r.Key] = r
	s.log = append(s.log, r)
}

func (s *fakeStore) position(r pomelo.Revision) pomelo.Position {
	return pomelo.Position{Epoch: s.epoch, Revision: r}
}

// restore returns the store to an older state under a new epoch.
func (s *fakeStore) restore(t *rapid.T) {
	s.epoch++
	s.revision = pomelo.Revision(rapid.IntRange(0, int(s.revision)).Draw(t, "restored"))
	s.log = s.log[:s.revision]
	s.records = map[string]pomelo.Record{}
	for _, r := range s.log {
		s.records[r.Key] = r
	}
}

// changes returns the response to a watch from a revision, ending at a random later revision.
func (s *fakeStore) changes(t *rapid.T, since pomelo.Revision) pomelo.RecordBatch {
	n := pomelo.Revision(rapid.IntRange(int(since), int(s.revision)).Draw(t, "until"))
	return pomelo.RecordBatch{Records: s.log[since:n], Position: s.position(n)}
}

func (s *fakeStore) feed(t *rapid.T, m *mirror.Mirror) {
	if m.Position().Epoch < s.epoch {
		m.Merge(s.listing())
		return
	}
	m.Merge(s.changes(t, m.Position().Revision))
}

func (s *fakeStore) listing() pomelo.RecordBatch {
	b := pomelo.RecordBatch{Position: s.position(s.revision), Full: true}
	for _, r := range s.records {
		if !r.Deleted {
			b.Records = append(b.Records, r)
		}
	}
	return b
}

func live(records []pomelo.Record) []pomelo.Record {
	var out []pomelo.Record
	for _, r := range records {
		if !r.Deleted {
			out = append(out, r)
		}
	}
	return out
}

func pull(from, to *mirror.Mirror) {
	if b, ok := from.Since(to.Position()); ok {
		to.Merge(b)
	}
}

func TestMirrorsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{records: map[string]pomelo.Record{}}
		copies := []*mirror.Mirror{mirror.New(), mirror.New(), mirror.New()}
		highest := map[string]pomelo.Revision{}
		copies[2].OnChange(func(records []pomelo.Record) {
			for _, r := range records {
				if s.epoch == 0 && r.Revision < highest[r.Key] {
					t.Fatalf("%s moved from revision %d back to %d", r.Key, highest[r.Key], r.Revision)
				}
				highest[r.Key] = r.Revision
			}
		})
		var delayed []pomelo.RecordBatch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "copy")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				s.write(t)
			case 2:
				s.feed(t, copies[0])
				delayed = append(delayed, s.listing())
			case 3:
				pull(copies[i], copies[(i+1)%3])
			case 4:
				copies[i].Merge(s.listing())
				delayed = append(delayed, s.listing())
			case 6:
				s.restore(t)
			case 5:
				// A delayed listing must not undo newer changes.
				if len(delayed) > 0 {
					copies[i].Merge(delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "delayed")])
				}
			}
		}
		s.feed(t, copies[0])
		copies[0].Merge(s.listing())
		for _, c := range copies[1:] {
			pull(copies[0], c)
			if c.Position() != copies[0].Position() {
				c.Merge(s.listing())
			}
			if fmt.Sprint(live(c.All())) != fmt.Sprint(live(copies[0].All())) {
				t.Fatalf("copies differ: %v and %v", c.All(), copies[0].All())
			}
		}
	})
}

func TestBatches(t *testing.T) {
	convey.Convey("Given a mirror with more records than one message holds", t, func() {
		m := mirror.New()
		var b pomelo.RecordBatch
		for i := range 100 {
			b.Records = append(b.Records, pomelo.Record{Key: fmt.Sprint(i), Value: make([]byte, 1000), Revision: pomelo.Revision(i + 1)})
		}
		b.Position = pomelo.Position{Revision: 100}
		m.Merge(b)
		convey.Convey("another mirror gets them in batches, each complete up to its position", func() {
			c := mirror.New()
			batches := 0
			for c.Position() != m.Position() {
				pull(m, c)
				batches++
				convey.So(len(c.All()), convey.ShouldEqual, int(c.Position().Revision))
			}
			convey.So(batches, convey.ShouldBeGreaterThan, 2)
		})
		convey.Convey("a batch of an older epoch is ignored, and a newer epoch starts with a full listing", func() {
			newer := pomelo.Position{Epoch: 1, Revision: 7}
			convey.So(m.Merge(pomelo.RecordBatch{Records: []pomelo.Record{{Key: "1", Revision: 7}}, Position: newer}), convey.ShouldBeFalse)
			convey.So(m.Merge(pomelo.RecordBatch{Records: []pomelo.Record{{Key: "1", Revision: 7}}, Position: newer, Full: true}), convey.ShouldBeTrue)
			convey.So(len(live(m.All())), convey.ShouldEqual, 1)
			convey.So(m.Merge(b), convey.ShouldBeFalse)
			convey.So(m.Position(), convey.ShouldResemble, newer)
		})
		convey.Convey("deletions beyond the limit are dropped, and copies older than them must list the store", func() {
			old := m.Position()
			for i := range 5000 {
				r := pomelo.Record{Key: fmt.Sprint("gone", i), Revision: pomelo.Revision(101 + i), Deleted: true}
				m.Merge(pomelo.RecordBatch{Records: []pomelo.Record{r}, Position: pomelo.Position{Revision: r.Revision}})
			}
			_, ok := m.Since(old)
			convey.So(ok, convey.ShouldBeFalse)
			_, ok = m.Since(pomelo.Position{Revision: m.Position().Revision - 10})
			convey.So(ok, convey.ShouldBeTrue)
		})
	})
}
