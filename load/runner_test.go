package load_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/load"
	"github.com/pomeloworks/pomelo/simclk"
	"github.com/smartystreets/goconvey/convey"
)

func echo(w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(q.Body)
	sum := sha256.Sum256(body)
	a := pomelo.FakeAnswer{Nonce: q.Header.Get(pomelo.FakeHeaderNonce), BodySHA256: hex.EncodeToString(sum[:])}
	_ = json.NewEncoder(w).Encode(a)
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(pomelo.HeaderRan, "no")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(pomelo.NewFault(pomelo.KindOverload, "full", "wait"))
}

func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte("{"))
}

func plan(url string, retry pomelo.LoadRetry) pomelo.LoadPlan {
	surge := []pomelo.LoadSurge{{From: 100, To: 200, Factor: 3}}
	s := pomelo.LoadStream{
		Name: "buy", Account: "a", Method: http.MethodPost, Path: "/buy", Rate: 200, Worth: 2,
		Timeout: 10_000, BodyBytes: 50, Retry: retry, Surges: surge,
	}
	return pomelo.LoadPlan{Seed: 7, Duration: 300, Targets: []string{url}, Streams: []pomelo.LoadStream{s}}
}

func run(h http.HandlerFunc, retry pomelo.LoadRetry, opts ...func(*load.Runner)) pomelo.LoadReport {
	web := httptest.NewServer(h)
	defer web.Close()
	p, err := load.New(plan(web.URL, retry), opts...).Run(context.Background())
	convey.So(err, convey.ShouldBeNil)
	return p
}

func TestOutcomes(t *testing.T) {
	immediate := pomelo.LoadRetry{Kind: pomelo.LoadRetryImmediate, Limit: 2}
	compliant := pomelo.LoadRetry{Kind: pomelo.LoadRetryCompliant, Limit: 2}
	cases := []struct {
		name     string
		handler  http.HandlerFunc
		retry    pomelo.LoadRetry
		count    func(pomelo.LoadSummary) int64
		attempts float64
	}{
		{"complete", echo, immediate, func(s pomelo.LoadSummary) int64 { return s.Complete }, 1},
		{"refused, immediate retries", refuse, immediate, func(s pomelo.LoadSummary) int64 { return s.Refused[pomelo.KindOverload] }, 3},
		{"refused without Retry-After, compliant retries", refuse, compliant, func(s pomelo.LoadSummary) int64 { return s.Refused[pomelo.KindOverload] }, 1},
		{"truncated", truncated, pomelo.LoadRetry{}, func(s pomelo.LoadSummary) int64 { return s.Failed["half_answer"] }, 1},
		{"mismatched", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, immediate, func(s pomelo.LoadSummary) int64 { return s.Mismatched }, 1},
	}
	convey.Convey("Every request is counted once, under its last outcome", t, func() {
		for _, c := range cases {
			convey.Convey(c.name, func() {
				p := run(c.handler, c.retry)
				convey.So(p.Total.Offered, convey.ShouldBeGreaterThan, 0)
				convey.So(c.count(p.Total), convey.ShouldEqual, p.Total.Offered)
				convey.So(p.Total.AttemptsPerRequest, convey.ShouldEqual, c.attempts)
			})
		}
	})
}

func TestReplay(t *testing.T) {
	convey.Convey("A repeat with an idempotency key may get the first attempt's answer, which has that attempt's root id", t, func() {
		replay := func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set(pomelo.HeaderRootID, "second")
			sum := sha256.Sum256(nil)
			a := pomelo.FakeAnswer{RootID: "first", Nonce: q.Header.Get(pomelo.FakeHeaderNonce), BodySHA256: hex.EncodeToString(sum[:])}
			_ = json.NewEncoder(w).Encode(a)
		}
		web := httptest.NewServer(http.HandlerFunc(replay))
		defer web.Close()
		for _, keyed := range []bool{true, false} {
			l := plan(web.URL, pomelo.LoadRetry{})
			l.Streams[0].BodyBytes = 0
			l.Streams[0].Idempotency = keyed
			p, err := load.New(l).Run(context.Background())
			convey.So(err, convey.ShouldBeNil)
			convey.So(p.Total.Mismatched == 0, convey.ShouldEqual, keyed)
			convey.So(p.Total.Complete == p.Total.Offered, convey.ShouldEqual, keyed)
		}
	})
}

func TestReport(t *testing.T) {
	convey.Convey("The same seed gives the same arrivals, and the report's totals are consistent", t, func() {
		p, repeated := run(echo, pomelo.LoadRetry{}), run(echo, pomelo.LoadRetry{})
		convey.So(repeated.Total.Offered, convey.ShouldEqual, p.Total.Offered)
		convey.So(p.Total.Seconds[0].Complete, convey.ShouldEqual, p.Total.Complete)
		convey.So(p.Total.WorthComplete, convey.ShouldEqual, 2*float64(p.Total.Complete))
		convey.So(p.WorstAccount, convey.ShouldEqual, "a")
		convey.So(p.WorstShare, convey.ShouldEqual, 1)
		var b bytes.Buffer
		convey.So(load.New(pomelo.LoadPlan{}).WriteText(&b, p), convey.ShouldBeNil)
		convey.So(b.String(), convey.ShouldContainSubstring, "worst account a: 1.000")
	})
	convey.Convey("Arrivals do not wait for answers: over the in-flight limit they count as unsent", t, func() {
		release := make(chan struct{})
		var once sync.Once
		clock := simclk.New(290, func() { once.Do(func() { close(release) }) })
		p := run(func(w http.ResponseWriter, q *http.Request) { <-release; echo(w, q) }, pomelo.LoadRetry{}, load.WithMaxInFlight(1), load.WithClock(clock))
		convey.So(p.Total.Unsent, convey.ShouldBeGreaterThan, 0)
		convey.So(p.Total.Complete+p.Total.Unsent, convey.ShouldEqual, p.Total.Offered)
	})
	convey.Convey("A plan without targets is refused", t, func() {
		_, err := load.New(pomelo.LoadPlan{}).Run(context.Background())
		convey.So(pomelo.IsKind(err, pomelo.KindBadRequest), convey.ShouldBeTrue)
	})
}

func TestTrigger(t *testing.T) {
	convey.Convey("A trigger sets its fault and clears it again", t, func() {
		var mutex sync.Mutex
		var faults []pomelo.FakeFault
		web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Path != "/fault" {
				echo(w, q)
				return
			}
			var f pomelo.FakeFault
			_ = json.NewDecoder(q.Body).Decode(&f)
			mutex.Lock()
			defer mutex.Unlock()
			faults = append(faults, f)
		}))
		defer web.Close()
		l := plan(web.URL, pomelo.LoadRetry{})
		l.Triggers = []pomelo.LoadTrigger{{At: 50, Until: 100, URLs: []string{web.URL}, Fault: pomelo.FakeFault{SlowFactor: 4}}}
		p, err := load.New(l).Run(context.Background())
		convey.So(err, convey.ShouldBeNil)
		convey.So(p.TriggersFailed, convey.ShouldEqual, 0)
		convey.So(faults, convey.ShouldResemble, []pomelo.FakeFault{{SlowFactor: 4}, {}})
	})
}

func TestTriggerFromTheStart(t *testing.T) {
	convey.Convey("A fault from the start is applied before the first request, even if setting it takes long", t, func() {
		var set, early atomic.Int64
		web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Path == "/fault" {
				time.Sleep(200 * time.Millisecond)
				set.Add(1)
				return
			}
			if set.Load() == 0 {
				early.Add(1)
			}
			echo(w, q)
		}))
		defer web.Close()
		l := plan(web.URL, pomelo.LoadRetry{})
		l.Triggers = []pomelo.LoadTrigger{{URLs: []string{web.URL}, Fault: pomelo.FakeFault{SlowFactor: 4}}}
		_, err := load.New(l).Run(context.Background())
		convey.So(err, convey.ShouldBeNil)
		convey.So(early.Load(), convey.ShouldEqual, 0)
	})
}
