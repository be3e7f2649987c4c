package ledger_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/config"
	"github.com/pomeloworks/pomelo/ledger"
	"github.com/pomeloworks/pomelo/local"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/pomeloworks/pomelo/mirror"
	"github.com/smartystreets/goconvey/convey"
)

// dispatchRecorder records the sub-calls that were dispatched.
type dispatchRecorder struct {
	calls []pomelo.Call
}

// Handle records the call and answers it with status 200.
func (d *dispatchRecorder) Handle(_ context.Context, c pomelo.Call) pomelo.Answer {
	d.calls = append(d.calls, c)
	return pomelo.Answer{CallID: c.ID, Status: http.StatusOK}
}

func subCall(address, token string) *http.Response {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+pomelo.PathCall+"sensors/read", nil)
	convey.So(err, convey.ShouldBeNil)
	r.Header.Set(pomelo.HeaderToken, token)
	r.Header.Set(pomelo.HeaderPrefix+"Importance", "9")
	a, err := http.DefaultClient.Do(r)
	convey.So(err, convey.ShouldBeNil)
	_ = a.Body.Close()
	return a
}

func TestTokens(t *testing.T) {
	c := clock.New(clock.WithManual(1_000))
	l := ledger.New(c)
	log := logs.New(&strings.Builder{})
	d := &dispatchRecorder{}
	s := local.New(config.New(mirror.New(), log), l, d, func(pomelo.Upstream) {}, log)
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Stop(context.Background()) }()
	parent := pomelo.Call{ID: "1", RootID: "root", Account: "growers", Importance: 3, Deadline: 2_000, RetriesLeft: 2}
	_, valid := l.Open(context.Background(), parent)
	_, closed := l.Open(context.Background(), parent)
	l.Close(closed)
	expiredCall := parent
	expiredCall.Deadline = 1_000
	_, expired := l.Open(context.Background(), expiredCall)
	deepCall := parent
	deepCall.Depth = 64
	_, tooDeep := l.Open(context.Background(), deepCall)
	cases := []struct {
		name   string
		token  string
		status int
	}{
		{"no token", "", http.StatusBadRequest},
		{"a forged token", strings.Repeat("0", len(valid)), http.StatusBadRequest},
		{"a shortened token", valid[1:], http.StatusBadRequest},
		{"the token of a finished call", closed, http.StatusBadRequest},
		{"the token of a call past its deadline", expired, http.StatusGatewayTimeout},
		{"the token of a call at the maximum depth", tooDeep, http.StatusBadRequest},
	}
	convey.Convey("A sub-call without a valid token is refused as not run, and nothing is dispatched", t, func() {
		for _, e := range cases {
			convey.Convey(e.name, func() {
				a := subCall(s.Address(), e.token)
				convey.So(a.StatusCode, convey.ShouldEqual, e.status)
				convey.So(a.Header.Get(pomelo.HeaderRan), convey.ShouldEqual, string(pomelo.RanNo))
				convey.So(len(d.calls), convey.ShouldEqual, 0)
			})
		}
	})
	convey.Convey("A valid token determines account, importance and deadline, whatever headers the upstream sends", t, func() {
		convey.So(subCall(s.Address(), valid).StatusCode, convey.ShouldEqual, http.StatusOK)
		convey.So(len(d.calls), convey.ShouldEqual, 1)
		got := d.calls[0]
		convey.So(got.Account, convey.ShouldEqual, "growers")
		convey.So(got.Importance, convey.ShouldEqual, 3)
		convey.So(got.Deadline, convey.ShouldEqual, pomelo.Millis(2_000))
		convey.So(got.RootID, convey.ShouldEqual, "root")
	})
}
