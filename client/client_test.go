package client_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/client"
	"github.com/smartystreets/goconvey/convey"
)

const setA = "set account A rate 1 burst 1"

// silent reads the body, since only then does the server notice that the caller is gone.
func silent(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refusing(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusConflict)
	_, _ = w.Write([]byte(`{"id":"x","fault":{"kind":"conflict","message":"m","remedy":"r","ran":"no"}}`))
}

func garbled(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }

func TestLostAnswers(t *testing.T) {
	cases := []struct {
		name    string
		node    http.HandlerFunc
		command string
		kind    pomelo.Kind
		ran     pomelo.Ran
	}{
		{"a silent node leaves a change in doubt", silent, setA, pomelo.KindInDoubt, pomelo.RanUnknown},
		{"a cut answer leaves a change in doubt", cut, setA, pomelo.KindInDoubt, pomelo.RanUnknown},
		{"an unreadable answer leaves a change in doubt", garbled, setA, pomelo.KindInDoubt, pomelo.RanUnknown},
		{"a silent node leaves a question unanswered", silent, "show nodes", pomelo.KindStoreUnavailable, pomelo.RanUnknown},
		{"a refusal is passed on", refusing, setA, pomelo.KindConflict, pomelo.RanNo},
	}
	for _, c := range cases {
		convey.Convey(c.name, t, func() {
			h := httptest.NewServer(c.node)
			defer h.Close()
			out, err := client.New(strings.TrimPrefix(h.URL, "http://"), client.WithTimeout(100)).Command(context.Background(), pomelo.CommandRequest{ID: "x", Command: c.command})
			convey.So(err, convey.ShouldNotBeNil)
			f := pomelo.FaultOf(err)
			convey.So(f.Kind, convey.ShouldEqual, c.kind)
			convey.So(f.Ran, convey.ShouldEqual, c.ran)
			convey.So(out.ID, convey.ShouldEqual, "x")
		})
	}
	convey.Convey("a node that was never reached has changed nothing", t, func() {
		h := httptest.NewServer(http.HandlerFunc(silent))
		h.Close()
		_, err := client.New(strings.TrimPrefix(h.URL, "http://")).Command(context.Background(), pomelo.CommandRequest{Command: setA})
		convey.So(pomelo.FaultOf(err).Kind, convey.ShouldEqual, pomelo.KindStoreUnavailable)
		convey.So(pomelo.FaultOf(err).Ran, convey.ShouldEqual, pomelo.RanNo)
	})
}
