package follow_test

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/fakekv"
	"github.com/pomeloworks/pomelo/follow"
	"github.com/pomeloworks/pomelo/kvhttp"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/mirror"
	"github.com/smartystreets/goconvey/convey"
)

const key = pomelo.PrefixKey + "k"

type fixture struct {
	server *fakekv.Server
	store  pomelo.Store
	copies []*mirror.Mirror
}

// newFixture starts two followers of one store, as on two nodes.
func newFixture(t *testing.T) *fixture {
	r := &fixture{server: fakekv.New()}
	h := httptest.NewServer(r.server)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); h.CloseClientConnections(); h.Close() })
	r.store = kvhttp.New(h.URL)
	for range 2 {
		m := mirror.New()
		r.copies = append(r.copies, m)
		f := follow.New(kvhttp.New(h.URL), m, clock.New(), logs.New(io.Discard), follow.WithWatchWait(100))
		go f.Run(ctx)
	}
	return r
}

func (r *fixture) put(key, value string, expected pomelo.Revision) pomelo.Record {
	w, err := r.store.Put(context.Background(), pomelo.Write{Key: key, Value: []byte(value), Expected: expected})
	convey.So(err, convey.ShouldBeNil)
	return w
}

func (r *fixture) allHave(value string) func() bool {
	return func() bool {
		for _, m := range r.copies {
			if e, ok := m.Get(key); !ok || string(e.Value) != value {
				return false
			}
		}
		return true
	}
}

func eventually(f func() bool) bool {
	for range 1000 {
		if f() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func TestFollower(t *testing.T) {
	convey.Convey("Given two followers of a store", t, func() {
		r := newFixture(t)
		w := r.put(key, "issued", 0)
		convey.So(eventually(r.allHave("issued")), convey.ShouldBeTrue)
		convey.Convey("a store outage with dropped watches changes nothing, and a later write arrives after it", func() {
			r.server.SetFault(pomelo.StoreFault{Down: true, DropWatches: true})
			time.Sleep(50 * time.Millisecond)
			convey.So(r.allHave("issued")(), convey.ShouldBeTrue)
			r.server.SetFault(pomelo.StoreFault{})
			r.put(key, "withdrawn", w.Revision)
			convey.So(eventually(r.allHave("withdrawn")), convey.ShouldBeTrue)
		})
		convey.Convey("a store that returns with an older state gets the accepted configuration restored", func() {
			old, err := r.server.Snapshot()
			convey.So(err, convey.ShouldBeNil)
			r.put(key, "withdrawn", w.Revision)
			r.put(pomelo.PrefixKey+"later", "issued", 0)
			convey.So(eventually(r.allHave("withdrawn")), convey.ShouldBeTrue)
			convey.So(eventually(func() bool { _, ok := r.copies[1].Get(pomelo.PrefixKey + "later"); return ok }), convey.ShouldBeTrue)
			r.server.SetFault(pomelo.StoreFault{Down: true, DropWatches: true})
			convey.So(r.server.Restore(old), convey.ShouldBeNil)
			r.server.SetFault(pomelo.StoreFault{})
			convey.So(eventually(func() bool {
				e, err := r.store.Get(context.Background(), key)
				return err == nil && string(e.Value) == "withdrawn" && r.copies[0].Position().Epoch == 1 && r.copies[1].Position().Epoch == 1
			}), convey.ShouldBeTrue)
			convey.So(r.allHave("withdrawn")(), convey.ShouldBeTrue)
			_, err = r.store.Get(context.Background(), pomelo.PrefixKey+"later")
			convey.So(err, convey.ShouldBeNil)
			now, err := r.store.Get(context.Background(), key)
			convey.So(err, convey.ShouldBeNil)
			r.put(key, "changed", now.Revision)
			convey.So(eventually(r.allHave("changed")), convey.ShouldBeTrue)
		})
	})
}
