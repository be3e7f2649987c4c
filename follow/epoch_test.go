package follow_test

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"

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
