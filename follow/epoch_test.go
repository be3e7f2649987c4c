package follow_test

import (
	"context"
	"io"
	"net/http/httptest"
	"sync/atomic"
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

func TestNewEpochBetweenWatches(t *testing.T) {
	convey.Convey("A follower whose watches were never cut takes over the epoch that another node has written", t, func() {
		server := fakekv.New()
		h := httptest.NewServer(server)
		defer h.Close()
		store := kvhttp.New(h.URL)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		m := mirror.New()
		go follow.New(kvhttp.New(h.URL), m, clock.New(), logs.New(io.Discard), follow.WithWatchWait(100)).Run(ctx)
		first, err := store.Put(ctx, pomelo.Write{Key: key, Value: []byte("issued")})
		convey.So(err, convey.ShouldBeNil)
		convey.So(eventually(func() bool { return m.Position().Revision == first.Revision }), convey.ShouldBeTrue)
		_, err = store.Put(ctx, pomelo.Write{Key: pomelo.KeyEpoch, Value: []byte(`{"epoch":1}`)})
		convey.So(err, convey.ShouldBeNil)
		convey.So(eventually(func() bool { return m.Position().Epoch == 1 }), convey.ShouldBeTrue)
		e, ok := m.Get(key)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(string(e.Value), convey.ShouldEqual, "issued")
	})
}

// TestUnreadLastWrite guards against a case that TestFollower showed: the follower that repairs the store has not read the last write, and its epoch takes the revision that the other one watches from.
func TestUnreadLastWrite(t *testing.T) {
	convey.Convey("What only the other follower knows is restored as well, in place of an older record too", t, func() {
		server := fakekv.New()
		h := httptest.NewServer(server)
		defer h.Close()
		store := kvhttp.New(h.URL)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		first, err := store.Put(ctx, pomelo.Write{Key: key, Value: []byte("issued")})
		convey.So(err, convey.ShouldBeNil)
		older, err := server.Snapshot()
		convey.So(err, convey.ShouldBeNil)
		copies := [2]*mirror.Mirror{mirror.New(), mirror.New()}
		var reading [2]atomic.Bool
		for i := range copies {
			reading[i].Store(true)
			f := follow.New(kvhttp.New(h.URL), copies[i], clock.New(), logs.New(io.Discard), follow.WithWatchWait(100))
			f.SetReadCondition(reading[i].Load)
			go f.Run(ctx)
		}
		other, err := store.Put(ctx, pomelo.Write{Key: key + "2", Value: []byte("issued")})
		convey.So(err, convey.ShouldBeNil)
		convey.So(eventually(func() bool { return copies[0].Position().Revision == other.Revision }), convey.ShouldBeTrue)
		reading[0].Store(false)
		time.Sleep(300 * time.Millisecond)
		withdrawn, err := store.Put(ctx, pomelo.Write{Key: key, Value: []byte("withdrawn"), Expected: first.Revision})
		convey.So(err, convey.ShouldBeNil)
		convey.So(eventually(func() bool { return copies[1].Position().Revision == withdrawn.Revision }), convey.ShouldBeTrue)
		reading[1].Store(false)
		time.Sleep(300 * time.Millisecond)
		convey.So(server.Restore(older), convey.ShouldBeNil)
		reading[0].Store(true)
		convey.So(eventually(func() bool { return copies[0].Position().Epoch == 1 }), convey.ShouldBeTrue)
		reading[1].Store(true)
		convey.So(eventually(func() bool {
			a, _ := copies[0].Get(key)
			b, _ := copies[1].Get(key)
			return string(a.Value) == "withdrawn" && string(b.Value) == "withdrawn" && copies[1].Position().Epoch == 1
		}), convey.ShouldBeTrue)
		e, err := store.Get(ctx, key+"2")
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(e.Value), convey.ShouldEqual, "issued")
	})
}
