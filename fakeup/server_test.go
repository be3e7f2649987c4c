package fakeup_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/fakeup"
	"github.com/smartystreets/goconvey/convey"
)

// fakeNode is a fake of the upstream's node; it answers sub-calls with its status and ran fields.
type fakeNode struct {
	*httptest.Server
	mutex     sync.Mutex
	announced []pomelo.Upstream
	withdrawn []pomelo.Upstream
	subCalls  []*http.Request
	refusals  int
	status    int
	ran       string
}

func newFakeNode() *fakeNode {
	n := &fakeNode{status: http.StatusOK}
	n.Server = httptest.NewServer(n)
	return n
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if strings.HasPrefix(q.URL.Path, pomelo.PathCall) {
		n.subCalls = append(n.subCalls, q)
		w.Header().Set(pomelo.HeaderRan, n.ran)
		w.WriteHeader(n.status)
		a := pomelo.FakeAnswer{Service: "deep", RootID: q.Header.Get(pomelo.HeaderRootID), Nonce: q.Header.Get(pomelo.FakeHeaderNonce)}
		_ = json.NewEncoder(w).Encode(a)
		return
	}
	var u pomelo.Upstream
	_ = json.NewDecoder(q.Body).Decode(&u)
	if q.Method == http.MethodDelete {
		n.withdrawn = append(n.withdrawn, u)
		return
	}
	n.announced = append(n.announced, u)
	if len(n.announced) <= n.refusals {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *fakeNode) count(list *[]pomelo.Upstream) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(*list)
}

func start(spec pomelo.FakeUpstream) (*fakeup.Server, func() error) {
	spec.Address = "127.0.0.1:0"
	s := fakeup.New(spec)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	<-s.Ready()
	return s, func() error { cancel(); return <-done }
}

func send(ctx context.Context, s *fakeup.Server, path string) (*http.Response, pomelo.FakeAnswer, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Addr()+path, strings.NewReader("abc"))
	if err != nil {
		return nil, pomelo.FakeAnswer{}, err
	}
	q.Header.Set(pomelo.FakeHeaderNonce, "n1")
	q.Header.Set(pomelo.HeaderRootID, "r1")
	q.Header.Set(pomelo.HeaderToken, "t1")
	q.Header.Set(pomelo.FakeHeaderCallID, "c1")
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, pomelo.FakeAnswer{}, err
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	var f pomelo.FakeAnswer
	_ = json.Unmarshal(body, &f)
	return a, f, err
}

func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func TestAnnouncementAndSubCalls(t *testing.T) {
	convey.Convey("Given an upstream with a sub-call whose node refuses its first announcement", t, func() {
		n := newFakeNode()
		defer n.Close()
		n.refusals = 1
		sub := []pomelo.FakeSubCall{{Service: "deep", Method: http.MethodGet, Path: "/x", Count: 2}}
		s, stop := start(pomelo.FakeUpstream{Service: "shop", VM: "vm1", NodeURL: n.URL, Slots: 3, Connections: 9, SubCalls: sub})
		waitFor(func() bool { return n.count(&n.announced) >= 2 })
		n.mutex.Lock()
		second := n.announced[1]
		n.mutex.Unlock()
		convey.So(second, convey.ShouldResemble, pomelo.Upstream{Service: "shop", Address: s.Addr(), Slots: 3, Connections: 9})

		_, f, err := send(context.Background(), s, "/buy")
		convey.So(err, convey.ShouldBeNil)
		convey.So(f.Nonce, convey.ShouldEqual, "n1")
		convey.So(f.RootID, convey.ShouldEqual, "r1")
		convey.So(f.BodySHA256, convey.ShouldEqual, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad")
		convey.So(len(f.Answers), convey.ShouldEqual, 2)
		convey.So(n.subCalls[0].URL.Path, convey.ShouldEqual, "/call/deep/x")
		convey.So(n.subCalls[0].Header.Get(pomelo.HeaderToken), convey.ShouldEqual, "t1")

		n.mutex.Lock()
		n.status, n.ran = http.StatusServiceUnavailable, "no"
		n.mutex.Unlock()
		a, _, err := send(context.Background(), s, "/buy")
		convey.So(err, convey.ShouldBeNil)
		convey.So(a.StatusCode, convey.ShouldEqual, http.StatusBadGateway)
		convey.So(a.Header.Get(pomelo.HeaderRan), convey.ShouldEqual, "no")
		convey.So(s.Counters().SubCallsFailed, convey.ShouldEqual, 1)

		convey.So(stop(), convey.ShouldBeNil)
		convey.So(n.count(&n.withdrawn), convey.ShouldEqual, 1)
	})
}

func TestSlotsAndCancellation(t *testing.T) {
	convey.Convey("One slot serves one request at a time, and a cancelled request frees it", t, func() {
		s, stop := start(pomelo.FakeUpstream{Service: "shop", Slots: 1})
		s.SetFault(pomelo.FakeFault{NeverRespond: true})
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _, _, _ = send(ctx, s, "/held") })
		waitFor(func() bool { return s.Counters().Running == 1 })
		s.SetFault(pomelo.FakeFault{})
		running.Go(func() { _, _, _ = send(context.Background(), s, "/next") })
		waitFor(func() bool { return s.Counters().Waiting == 1 })
		cancel()
		running.Wait()
		c := s.Counters()
		convey.So(c.Cancelled, convey.ShouldEqual, 1)
		convey.So(c.Finished, convey.ShouldEqual, 1)
		convey.So(c.MaxRunning, convey.ShouldEqual, 1)
		var kinds []pomelo.FakeEventKind
		for _, e := range s.Events() {
			kinds = append(kinds, e.Kind)
		}
		convey.So(kinds, convey.ShouldResemble, []pomelo.FakeEventKind{"start", "cancelled", "start", "end"})
		convey.So(stop(), convey.ShouldBeNil)
	})
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		fault  string
		failed bool
		status int
		callID string
	}{
		{"none", `{}`, false, 200, "c1"},
		{"slow", `{"slow_factor":2}`, false, 200, "c1"},
		{"late", `{"late_ms":5}`, false, 200, "c1"},
		{"truncated", `{"half_answer":true}`, true, 0, ""},
		{"wrong id", `{"wrong_id":true}`, false, 200, "wrong-c1"},
		{"refuse", `{"refuse":true}`, false, 503, ""},
		{"down", `{"down":true}`, true, 0, ""},
	}
	convey.Convey("Each fault set by POST /fault affects the next response", t, func() {
		s, stop := start(pomelo.FakeUpstream{Service: "shop", Slots: 1, ServiceTime: 1, HealthMode: pomelo.FakeHealthAlwaysOK})
		for _, c := range cases {
			convey.Convey(c.name, func() {
				q, err := http.Post("http://"+s.Addr()+"/fault", "application/json", strings.NewReader(c.fault))
				convey.So(err, convey.ShouldBeNil)
				_ = q.Body.Close()
				convey.So(q.StatusCode, convey.ShouldEqual, http.StatusNoContent)
				a, _, err := send(context.Background(), s, "/buy")
				convey.So(err != nil, convey.ShouldEqual, c.failed)
				if !c.failed {
					convey.So(a.StatusCode, convey.ShouldEqual, c.status)
					convey.So(a.Header.Get(pomelo.FakeHeaderCallID), convey.ShouldEqual, c.callID)
				}
			})
		}
		convey.So(stop(), convey.ShouldBeNil)
	})
}
