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

// dispatch counts the sub-calls that were let out.
type dispatch struct {
	calls []pomelo.Call
}

// Handle answers whole.
func (d *dispatch) Handle(_ context.Context, c pomelo.Call) pomelo.Answer {
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
	d := &dispatch{}
	s := local.New(config.New(mirror.New(), log), l, d, func(pomelo.Upstream) {}, log)
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Stop(context.Background()) }()
	parent := pomelo.Call{ID: "1", RootID: "root", Account: "growers", Importance: 3, Deadline: 2_000, RetriesLeft: 2}
	_, live := l.Open(context.Background(), parent)
	_, closed := l.Open(context.Background(), parent)
	l.Close(closed)
	late := parent
	late.Deadline = 1_000
	_, expired := l.Open(context.Background(), late)
	deep := parent
	deep.Depth = 64
	_, loop := l.Open(context.Background(), deep)
	cases := []struct {
		name   string
		token  string
		status int
	}{
		{"no token", "", http.StatusBadRequest},
		{"a forged token", strings.Repeat("0", len(live)), http.StatusBadRequest},
		{"a shortened token", live[1:], http.StatusBadRequest},
		{"the token of a call that has ended", closed, http.StatusBadRequest},
		{"the token of a call out of time", expired, http.StatusGatewayTimeout},
		{"the token of a call in a loop", loop, http.StatusBadRequest},
	}
	convey.Convey("A sub-call without a live token is refused as not run, and nothing is dispatched", t, func() {
		for _, e := range cases {
			convey.Convey(e.name, func() {
				a := subCall(s.Address(), e.token)
				convey.So(a.StatusCode, convey.ShouldEqual, e.status)
				convey.So(a.Header.Get(pomelo.HeaderRan), convey.ShouldEqual, string(pomelo.RanNo))
				convey.So(len(d.calls), convey.ShouldEqual, 0)
			})
		}
	})
	convey.Convey("A live token fixes account, importance and deadline, whatever the upstream sends", t, func() {
		convey.So(subCall(s.Address(), live).StatusCode, convey.ShouldEqual, http.StatusOK)
		convey.So(len(d.calls), convey.ShouldEqual, 1)
		got := d.calls[0]
		convey.So(got.Account, convey.ShouldEqual, "growers")
		convey.So(got.Importance, convey.ShouldEqual, 3)
		convey.So(got.Deadline, convey.ShouldEqual, pomelo.Millis(2_000))
		convey.So(got.RootID, convey.ShouldEqual, "root")
	})
}
