package pomelo_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/fakekv"
	"github.com/pomeloworks/pomelo/kvhttp"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/platform"
	"github.com/pomeloworks/pomelo/platform/fake"
	"github.com/smartystreets/goconvey/convey"
)

const (
	contractHistory  = 64                    // events retained by the store of each adapter
	contractMaxValue = 1 << 20               // bytes
	contractTimeout  = pomelo.Millis(10_000) // for a change that must arrive
	contractLeaseTTL = pomelo.Millis(50)     // of a lease that is left to expire
)

// storeAdapters lists every implementation of pomelo.Store with a constructor of an empty store.
var storeAdapters = []struct {
	name string
	open func(t *testing.T) pomelo.Store
}{
	{"kvhttp over fakekv", openFakeKV},
	{"platform over its stand-in", openPlatformFake},
}

var storeChecks = []struct {
	name  string
	check func(ctx context.Context, s pomelo.Store)
}{
	{"a write takes effect only at the expected revision", checkCompareAndSwap},
	{"racing writes have exactly one winner", checkConcurrentWrites},
	{"an expired lease deletes its records, notifies watchers and cannot be used", checkLeaseExpiry},
	{"a revoked lease deletes its records, a renewed one keeps them", checkLeaseRevocation},
	{"a watch returns all later changes under the prefix in order, once", checkWatch},
	{"a blocked watch returns on a change", checkBlockingWatch},
	{"a watch that times out returns an empty listing with the revision", checkWatchTimeout},
	{"a watch from a compacted revision is refused", checkCompaction},
	{"a value of up to 1 MiB is accepted, a larger one refused", checkValueLimit},
	{"values may hold any bytes, keys any characters", checkCharacters},
}

func openFakeKV(t *testing.T) pomelo.Store {
	s := fakekv.New(fakekv.WithHistory(contractHistory))
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Run(ctx) }()
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	t.Cleanup(cancel)
	return kvhttp.New(h.URL, kvhttp.WithTimeout(contractTimeout))
}

func openPlatformFake(t *testing.T) pomelo.Store {
	s := fake.New(fake.WithHistory(contractHistory), fake.WithPageSize(3), fake.WithRevision(0))
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	h := httptest.NewServer(s.Handler("a"))
	t.Cleanup(h.Close)
	t.Cleanup(cancel)
	return platform.NewStore(h.URL, metric.New(), platform.WithTimeout(contractTimeout))
}

func TestStoreContract(t *testing.T) {
	for _, a := range storeAdapters {
		for _, c := range storeChecks {
			convey.Convey(a.name+": "+c.name, t, func() {
				c.check(context.Background(), a.open(t))
			})
		}
	}
}

func mustPut(ctx context.Context, s pomelo.Store, w pomelo.Write) pomelo.Record {
	r, err := s.Put(ctx, w)
	convey.So(err, convey.ShouldBeNil)
	return r
}

func shouldBeFault(err error, k pomelo.Kind) {
	convey.So(err, convey.ShouldNotBeNil)
	convey.So(pomelo.FaultOf(err).Kind, convey.ShouldEqual, k)
	convey.So(pomelo.FaultOf(err).Remedy, convey.ShouldNotBeBlank)
}

func checkCompareAndSwap(ctx context.Context, s pomelo.Store) {
	_, err := s.Get(ctx, "a")
	shouldBeFault(err, pomelo.KindNotFound)
	one := mustPut(ctx, s, pomelo.Write{Key: "a", Value: []byte("1")})
	convey.So(one.Revision, convey.ShouldEqual, 1)
	_, err = s.Put(ctx, pomelo.Write{Key: "a", Value: []byte("x")})
	shouldBeFault(err, pomelo.KindConflict)
	two := mustPut(ctx, s, pomelo.Write{Key: "a", Value: []byte("2"), Expected: one.Revision})
	convey.So(two.Revision, convey.ShouldEqual, 2)
	_, err = s.Put(ctx, pomelo.Write{Key: "a", Delete: true, Expected: one.Revision})
	shouldBeFault(err, pomelo.KindConflict)
	got, err := s.Get(ctx, "a")
	convey.So(err, convey.ShouldBeNil)
	convey.So(got, convey.ShouldResemble, two)
	deleted := mustPut(ctx, s, pomelo.Write{Key: "a", Delete: true, Expected: two.Revision})
	convey.So(deleted.Deleted, convey.ShouldBeTrue)
	_, err = s.Get(ctx, "a")
	shouldBeFault(err, pomelo.KindNotFound)
	_, err = s.Put(ctx, pomelo.Write{Key: "a", Expected: two.Revision})
	shouldBeFault(err, pomelo.KindConflict)
}

func checkConcurrentWrites(ctx context.Context, s pomelo.Store) {
	var wg sync.WaitGroup
	var won, lost atomic.Int32
	for i := range 16 {
		wg.Go(func() {
			_, err := s.Put(ctx, pomelo.Write{Key: "race", Value: []byte{byte(i)}})
			if err == nil {
				won.Add(1)
			}
			if pomelo.IsKind(err, pomelo.KindConflict) {
				lost.Add(1)
			}
		})
	}
	wg.Wait()
	convey.So(won.Load(), convey.ShouldEqual, 1)
	convey.So(lost.Load(), convey.ShouldEqual, 15)
}

func checkLeaseExpiry(ctx context.Context, s pomelo.Store) {
	id, err := s.Grant(ctx, contractLeaseTTL)
	convey.So(err, convey.ShouldBeNil)
	r := mustPut(ctx, s, pomelo.Write{Key: "m/a", Value: []byte("x"), Lease: id})
	l, err := s.Watch(ctx, "m/", r.Revision, contractTimeout)
	convey.So(err, convey.ShouldBeNil)
	convey.So(len(l.Records), convey.ShouldEqual, 1)
	convey.So(l.Records[0].Deleted, convey.ShouldBeTrue)
	_, err = s.Get(ctx, "m/a")
	shouldBeFault(err, pomelo.KindNotFound)
	shouldBeFault(s.Renew(ctx, id), pomelo.KindLeaseExpired)
	_, err = s.Put(ctx, pomelo.Write{Key: "m/b", Lease: id})
	shouldBeFault(err, pomelo.KindLeaseExpired)
}

func checkLeaseRevocation(ctx context.Context, s pomelo.Store) {
	id, err := s.Grant(ctx, contractTimeout)
	convey.So(err, convey.ShouldBeNil)
	mustPut(ctx, s, pomelo.Write{Key: "a", Lease: id})
	mustPut(ctx, s, pomelo.Write{Key: "b"})
	convey.So(s.Renew(ctx, id), convey.ShouldBeNil)
	_, err = s.Get(ctx, "a")
	convey.So(err, convey.ShouldBeNil)
	convey.So(s.Revoke(ctx, id), convey.ShouldBeNil)
	l, err := s.List(ctx, "")
	convey.So(err, convey.ShouldBeNil)
	convey.So(len(l.Records), convey.ShouldEqual, 1)
	convey.So(l.Records[0].Key, convey.ShouldEqual, "b")
	convey.So(l.Revision, convey.ShouldEqual, 3)
}

func checkWatch(ctx context.Context, s pomelo.Store) {
	a := mustPut(ctx, s, pomelo.Write{Key: "p/a"})
	b := mustPut(ctx, s, pomelo.Write{Key: "p/b"})
	mustPut(ctx, s, pomelo.Write{Key: "q/a"})
	c := mustPut(ctx, s, pomelo.Write{Key: "p/a", Expected: a.Revision})
	d := mustPut(ctx, s, pomelo.Write{Key: "p/b", Expected: b.Revision, Delete: true})
	l, err := s.Watch(ctx, "p/", a.Revision, contractTimeout)
	convey.So(err, convey.ShouldBeNil)
	convey.So(l.Records, convey.ShouldResemble, []pomelo.Record{b, c, d})
	convey.So(l.Revision, convey.ShouldEqual, d.Revision)
}

func checkBlockingWatch(ctx context.Context, s pomelo.Store) {
	listings := make(chan pomelo.Listing, 1)
	go func() {
		l, _ := s.Watch(ctx, "p/", 0, contractTimeout)
		listings <- l
	}()
	mustPut(ctx, s, pomelo.Write{Key: "q/a"})
	r := mustPut(ctx, s, pomelo.Write{Key: "p/a"})
	convey.So((<-listings).Records, convey.ShouldResemble, []pomelo.Record{r})
}

func checkWatchTimeout(ctx context.Context, s pomelo.Store) {
	r := mustPut(ctx, s, pomelo.Write{Key: "q/a"})
	l, err := s.Watch(ctx, "p/", 0, 5)
	convey.So(err, convey.ShouldBeNil)
	convey.So(l.Records, convey.ShouldBeEmpty)
	convey.So(l.Revision, convey.ShouldEqual, r.Revision)
}

func checkCompaction(ctx context.Context, s pomelo.Store) {
	for i := range contractHistory + 1 {
		mustPut(ctx, s, pomelo.Write{Key: fmt.Sprint(i)})
	}
	_, err := s.Watch(ctx, "", 0, 0)
	shouldBeFault(err, pomelo.KindWatchCompacted)
	l, err := s.Watch(ctx, "", 1, 0)
	convey.So(err, convey.ShouldBeNil)
	convey.So(len(l.Records), convey.ShouldEqual, contractHistory)
}

func checkValueLimit(ctx context.Context, s pomelo.Store) {
	largest := bytes.Repeat([]byte{0xff}, contractMaxValue)
	mustPut(ctx, s, pomelo.Write{Key: "a", Value: largest})
	got, err := s.Get(ctx, "a")
	convey.So(err, convey.ShouldBeNil)
	convey.So(bytes.Equal(got.Value, largest), convey.ShouldBeTrue)
	for _, n := range []int{1, contractMaxValue} {
		_, err = s.Put(ctx, pomelo.Write{Key: "b", Value: make([]byte, contractMaxValue+n)})
		shouldBeFault(err, pomelo.KindTooLarge)
	}
}

func checkCharacters(ctx context.Context, s pomelo.Store) {
	binary := make([]byte, 256)
	for i := range binary {
		binary[i] = byte(i)
	}
	for _, k := range []string{"a/b c/d", "?&=#%+;", "\"\\\n\x00", "ñ/漢/🍊"} {
		r := mustPut(ctx, s, pomelo.Write{Key: k, Value: binary})
		got, err := s.Get(ctx, k)
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldResemble, r)
		convey.So(got.Value, convey.ShouldResemble, binary)
		l, err := s.List(ctx, k)
		convey.So(err, convey.ShouldBeNil)
		convey.So(l.Records, convey.ShouldResemble, []pomelo.Record{r})
	}
}
