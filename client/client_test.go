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

// neverAnswers reads the body because the server detects a closed connection only after that.
func neverAnswers(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func abortsConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuses(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusConflict)
	_, _ = w.Write([]byte(`{"id":"x","fault":{"kind":"conflict","message":"m","remedy":"r","ran":"no"}}`))
}

// answersStatus000 sends a refusal as JSON under a status that is none of HTTP.
func answersStatus000(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "HTTP/1.1 000 Trouble\r\n\r\n"+`{"id":"x","fault":{"kind":"conflict","message":"m","remedy":"r","ran":"no"}}`)
}

func answersInvalidJSON(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }

func TestLostAnswers(t *testing.T) {
	cases := []struct {
		name    string
		node    http.HandlerFunc
		command string
		kind    pomelo.Kind
		ran     pomelo.Ran
	}{
		{"without an answer a change is in doubt", neverAnswers, setA, pomelo.KindInDoubt, pomelo.RanUnknown},
		{"after an aborted connection a change is in doubt", abortsConnection, setA, pomelo.KindInDoubt, pomelo.RanUnknown},
		{"after an invalid answer a change is in doubt", answersInvalidJSON, setA, pomelo.KindInDoubt, pomelo.RanUnknown},
		{"after an answer with the status 000 a change is in doubt", answersStatus000, setA, pomelo.KindInDoubt, pomelo.RanUnknown},
		{"without an answer a show command fails", neverAnswers, "show nodes", pomelo.KindStoreUnavailable, pomelo.RanUnknown},
		{"a refusal is returned", refuses, setA, pomelo.KindConflict, pomelo.RanNo},
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
	convey.Convey("a node that can't be reached has changed nothing", t, func() {
		h := httptest.NewServer(http.HandlerFunc(neverAnswers))
		h.Close()
		_, err := client.New(strings.TrimPrefix(h.URL, "http://")).Command(context.Background(), pomelo.CommandRequest{Command: setA})
		convey.So(pomelo.FaultOf(err).Kind, convey.ShouldEqual, pomelo.KindStoreUnavailable)
		convey.So(pomelo.FaultOf(err).Ran, convey.ShouldEqual, pomelo.RanNo)
	})
}
