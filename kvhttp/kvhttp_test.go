package kvhttp_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/fakekv"
	"github.com/pomeloworks/pomelo/kvhttp"
	"github.com/smartystreets/goconvey/convey"
)

const longTimeout = pomelo.Millis(10_000)

type rig struct {
	server *fakekv.Server
	url    string
	client *kvhttp.Client
}

var faultChecks = []struct {
	name  string
	check func(ctx context.Context, r rig)
}{
	{"down: every call returns store unavailable, until the fault is cleared", checkDown},
	{"dropped response: the write took effect", checkLostResponse},
	{"slow: a write takes effect after its caller timed out", checkSlow},
	{"dropped watch: a waiting watch fails", checkDroppedWatch},
	{"restored older state: the revision decreases, and watches from a newer revision are refused", checkRestore},
}

func TestStoreFaults(t *testing.T) {
	for _, f := range faultChecks {
		convey.Convey(f.name, t, func() {
			s := fakekv.New()
			h := httptest.NewServer(s)
			defer h.Close()
			f.check(context.Background(), rig{s, h.URL, kvhttp.New(h.URL, kvhttp.WithTimeout(longTimeout))})
		})
	}
}

func shouldBeUnavailable(err error, ran pomelo.Ran) {
	convey.So(pomelo.IsKind(err, pomelo.KindStoreUnavailable), convey.ShouldBeTrue)
	convey.So(pomelo.FaultOf(err).Ran, convey.ShouldEqual, ran)
	convey.So(pomelo.FaultOf(err).Remedy, convey.ShouldNotBeBlank)
}

func checkDown(ctx context.Context, r rig) {
	post(r, `{"down":true}`)
	_, err := r.client.Get(ctx, "a")
	shouldBeUnavailable(err, pomelo.RanNo)
	_, err = r.client.Watch(ctx, "", 0, longTimeout)
	shouldBeUnavailable(err, pomelo.RanNo)
	_, err = r.client.Put(ctx, pomelo.Write{Key: "a"})
	shouldBeUnavailable(err, pomelo.RanUnknown)
	post(r, `{}`)
	l, err := r.client.List(ctx, "")
	convey.So(err, convey.ShouldBeNil)
	convey.So(l, convey.ShouldResemble, pomelo.Listing{Records: []pomelo.Record{}})
}

func post(r rig, body string) {
	res, err := http.Post(r.url+"/fault", "application/json", strings.NewReader(body))
	convey.So(err, convey.ShouldBeNil)
	convey.So(res.StatusCode, convey.ShouldEqual, http.StatusOK)
	_ = res.Body.Close()
}

func checkLostResponse(ctx context.Context, r rig) {
	r.server.SetFault(pomelo.StoreFault{DropResponses: 1})
	_, err := r.client.Put(ctx, pomelo.Write{Key: "a", Value: []byte("1")})
	shouldBeUnavailable(err, pomelo.RanUnknown)
	got, err := r.client.Get(ctx, "a")
	convey.So(err, convey.ShouldBeNil)
	convey.So(got.Value, convey.ShouldResemble, []byte("1"))
	_, err = r.client.Put(ctx, pomelo.Write{Key: "a", Expected: got.Revision})
	convey.So(err, convey.ShouldBeNil)
}

func checkSlow(ctx context.Context, r rig) {
	r.server.SetFault(pomelo.StoreFault{Delay: 200})
	timingOut := kvhttp.New(r.url, kvhttp.WithTimeout(20))
	_, err := timingOut.Get(ctx, "a")
	shouldBeUnavailable(err, pomelo.RanNo)
	_, err = timingOut.Put(ctx, pomelo.Write{Key: "a"})
	shouldBeUnavailable(err, pomelo.RanUnknown)
	r.server.SetFault(pomelo.StoreFault{})
	l, err := r.client.Watch(ctx, "", 0, longTimeout)
	convey.So(err, convey.ShouldBeNil)
	convey.So(len(l.Records), convey.ShouldEqual, 1)
}

func checkDroppedWatch(ctx context.Context, r rig) {
	watchErr := make(chan error, 1)
	go func() {
		_, err := r.client.Watch(ctx, "", 0, longTimeout*100)
		watchErr <- err
	}()
	// The watch may not have arrived when the fault is first injected, so inject it until the watch fails.
	for {
		r.server.SetFault(pomelo.StoreFault{DropWatches: true})
		select {
		case err := <-watchErr:
			shouldBeUnavailable(err, pomelo.RanNo)
			return
		default:
			runtime.Gosched()
		}
	}
}

func checkRestore(ctx context.Context, r rig) {
	_, err := r.client.Put(ctx, pomelo.Write{Key: "a", Value: []byte("old")})
	convey.So(err, convey.ShouldBeNil)
	older, err := r.server.Snapshot()
	convey.So(err, convey.ShouldBeNil)
	newer, err := r.client.Put(ctx, pomelo.Write{Key: "a", Value: []byte("new"), Expected: 1})
	convey.So(err, convey.ShouldBeNil)
	convey.So(r.server.Restore(older), convey.ShouldBeNil)
	got, err := r.client.Get(ctx, "a")
	convey.So(err, convey.ShouldBeNil)
	convey.So(string(got.Value), convey.ShouldEqual, "old")
	_, err = r.client.Watch(ctx, "", newer.Revision, longTimeout)
	convey.So(pomelo.IsKind(err, pomelo.KindWatchCompacted), convey.ShouldBeTrue)
}

func TestUnusableAnswers(t *testing.T) {
	convey.Convey("A 5xx status or an unreadable body is reported as store unavailable", t, func() {
		for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusBadGateway} {
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte("<html>"))
			}))
			_, err := kvhttp.New(h.URL).Get(context.Background(), "a")
			h.Close()
			shouldBeUnavailable(err, pomelo.RanNo)
		}
	})
}
