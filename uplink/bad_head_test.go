package uplink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/uplink"
	"github.com/smartystreets/goconvey/convey"
)

// callTimeout is long enough that a call ends by it only if it waits for more bytes.
const callTimeout = 5 * time.Second

type badHead struct{ name, text string }

// badStatuses are heads whose status is none of HTTP, or none for a request without an upgrade.
var badStatuses = []badHead{
	{"the status 000", "HTTP/1.1 000 \r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\n"},
	{"the status 000 without a reason", "HTTP/1.1 000\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\n"},
	{"the status 000 and no body", "HTTP/1.1 000 Trouble\r\nX-Id: 1\r\nServer-Seal: sealed\r\n\r\n"},
	{"the status 099", "HTTP/1.1 099 Trouble\r\nX-Id: 1\r\nX-Not-Run: 1\r\n\r\n"},
	{"the status +20", "HTTP/1.1 +20 OK\r\nX-Id: 1\r\n\r\n"},
	{"the status -00", "HTTP/1.1 -00 OK\r\nX-Id: 1\r\n\r\n"},
	{"the status 600", "HTTP/1.1 600 Trouble\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\n"},
	{"the status 999", "HTTP/1.1 999 Trouble\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\n"},
	{"the status 2x0", "HTTP/1.1 2x0 OK\r\nX-Id: 1\r\n\r\n"},
	{"a switch of protocols", "HTTP/1.1 101 Switching Protocols\r\nX-Id: 1\r\nUpgrade: other\r\n\r\n"},
}

// before are what an upstream may send before a head.
var before = []struct{ name, text string }{
	{"", ""},
	{" after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{" after a response to another call", response("2", "no")},
}

// following are what an upstream may send after a head.
var following = []struct{ name, text string }{
	{"silence", ""},
	{"a body", "ok"},
	{"a proper answer", response("1", "ok")},
	{"a body and a proper answer", "ok" + response("1", "ok")},
	{"a statement that it has not run the call", "HTTP/1.1 503 Full\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
}

// serveText answers the first request with a proper response, the second one with the text, and keeps the connection open.
func serveText(t *testing.T, text string) *fakeServer {
	return serve(t, func(c net.Conn, r *bufio.Reader, n int) {
		if n > 1 {
			respond(c, r, func(id string) string { return response(id, "ok") })
			return
		}
		_, _ = io.WriteString(c, response(readID(r), "ok"))
		readID(r)
		_, _ = io.WriteString(c, text)
		_, _ = io.Copy(io.Discard, r)
	})
}

// checkBadHead requires that the second call of a connection is refused at once, that its response tells nothing, and that the connection is not used again.
func checkBadHead(t *testing.T, text string) {
	s := serveText(t, text)
	cl := uplink.New(fakeDialect{}, clock.New(), metric.New())
	responses, rejections := 0, 0
	cl.OnResponse(func(pomelo.Instance, pomelo.ResponseInfo) { responses++ })
	cl.OnRejected(func(pomelo.Call, pomelo.Exchange) { rejections++ })
	do := func(id string) pomelo.Answer {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		return cl.Do(ctx, pomelo.Instance{Address: s.address}, call(id, "order"))
	}
	convey.So(do("0").Refusal, convey.ShouldBeNil)
	a := do("1")
	convey.So(a.Refusal, convey.ShouldNotBeNil)
	convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindUpstreamFailed)
	convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
	convey.So(responses, convey.ShouldEqual, 1)
	convey.So(rejections, convey.ShouldEqual, 0)
	convey.So(s.conns.Load(), convey.ShouldEqual, 1)
	convey.So(do("3").Refusal, convey.ShouldBeNil)
	convey.So(s.conns.Load(), convey.ShouldEqual, 2)
}

func checkBadHeads(t *testing.T, heads []badHead) {
	for _, h := range heads {
		for _, b := range before {
			for _, f := range following {
				convey.Convey("A response with "+h.name+b.name+", followed by "+f.name+", is no answer and tells nothing", t, func() {
					checkBadHead(t, b.text+h.text+f.text)
				})
			}
		}
	}
}

// TestBadStatus guards against MIXED: an answer whose status is none of HTTP is passed on, or skipped as an interim one.
func TestBadStatus(t *testing.T) {
	checkBadHeads(t, badStatuses)
}

// badFields are heads in which one byte is not allowed where it stands.
var badFields = []badHead{
	{"a blank before a colon", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length : 2\r\n\r\n"},
	{"a blank in a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX Y: 1\r\nContent-Length: 2\r\n\r\n"},
	{"a blank in the name of its length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent Length: 2\r\n\r\n"},
	{"a blank before the first name", "HTTP/1.1 200 OK\r\n X-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\n"},
	{"a blank before a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nServer-Seal: sealed\r\n Content-Length: 2\r\nX-Not-Run: 1\r\n\r\n"},
	{"a tab before a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nServer-Seal: sealed\r\n\tContent-Length: 2\r\nX-Not-Run: 1\r\n\r\n"},
	{"a blank before the last name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\nServer-Seal: sealed\r\n X: 1\r\n\r\n"},
	{"a line of blanks", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n \r\n\r\n"},
	{"a tab in a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Not-Run: 1\r\nX\tY: 1\r\nContent-Length: 2\r\n\r\n"},
	{"a tab before a colon", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length\t: 2\r\n\r\n"},
	{"a control byte before a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\x01Content-Length: 2\r\n\r\n"},
	{"a control byte in a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Not-Run: 1\r\nX\x00Y: 1\r\nContent-Length: 2\r\n\r\n"},
	{"a control byte after a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length\x7f: 2\r\n\r\n"},
	{"a carriage return in a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX\rY: 1\r\nContent-Length: 2\r\n\r\n"},
	{"a byte over 127 in a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX\xe9: 1\r\nContent-Length: 2\r\n\r\n"},
	{"a name without bytes", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n: 1\r\nContent-Length: 2\r\n\r\n"},
	{"a line without a colon", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Not-Run\r\nContent-Length: 2\r\n\r\n"},
	{"a control byte in a value", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX: a\x00b\r\nContent-Length: 2\r\n\r\n"},
	{"a control byte in its reason", "HTTP/1.1 200 O\x01K\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\n"},
	{"a blank in a name of an interim response", "HTTP/1.1 103 Early Hints\r\nContent-Length : 2\r\n\r\n"},
	{"a blank before a colon in a head with line feeds only", "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length : 2\n\n"},
	{"a blank before a name in a head with line feeds only", "HTTP/1.1 200 OK\nX-Id: 1\nServer-Seal: sealed\n Content-Length: 2\n\n"},
	{"a blank in a name behind a long value", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX: " + strings.Repeat("x", 10_000) + "\r\nContent-Length : 2\r\n\r\n"},
	{"a blank before a name behind a long value", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX: " + strings.Repeat("x", 10_000) + "\r\n Content-Length: 2\r\n\r\n"},
}

// TestEncodedHTTP10 guards against MIXED: the chunks of a response of HTTP/1.0, whose transfer encoding net/http removes, are passed on as its body.
func TestEncodedHTTP10(t *testing.T) {
	checkBadHeads(t, []badHead{
		{"a transfer encoding and HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Id: 1\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"a transfer encoding in small letters and HTTP/1.0", "HTTP/1.0 200 OK\ntransfer-encoding:chunked\nX-Id: 1\nContent-Length: 2\n\nok"},
	})
	convey.Convey("A response of HTTP/1.0 that its connection ends is delivered", t, func() {
		s := serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
			readID(r)
			_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\nX-Id: 1\r\nX-Transfer-Encoding: chunked\r\n\r\nok")
		})
		a := do(uplink.New(fakeDialect{}, clock.New(), metric.New()), s, "1")
		convey.So(a.Refusal, convey.ShouldBeNil)
		convey.So(string(a.Body), convey.ShouldEqual, "ok")
	})
}

// TestBadField guards against MIXED: a head that is not valid HTTP is passed on, or the length of its body is taken from what is left of it.
func TestBadField(t *testing.T) {
	checkBadHeads(t, badFields)
}

// TestBadTrailer checks the fields behind a body.
func TestBadTrailer(t *testing.T) {
	convey.Convey("A response with a blank in the name of a trailer is no answer", t, func() {
		for _, trailer := range []string{"X Sum: 7", "X-Sum : 7"} {
			s := serveText(t, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+trailer+"\r\n\r\n")
			cl := uplink.New(fakeDialect{}, clock.New(), metric.New())
			convey.So(do(cl, s, "0").Refusal, convey.ShouldBeNil)
			a := do(cl, s, "1")
			convey.So(a.Refusal, convey.ShouldNotBeNil)
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
		}
	})
}

// TestHeadsOnKeptConnection checks that no byte behind a head is lost or read twice, however the bytes are cut into segments.
func TestHeadsOnKeptConnection(t *testing.T) {
	convey.Convey("Responses are read whole on one connection, whatever part of them arrives at a time", t, func() {
		text := "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + response("2", "stray") + "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 5\n\nwhole"
		for step := range len(text) {
			s := serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
				readID(r)
				_, _ = io.WriteString(c, text[:step])
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(c, text[step:])
				readID(r)
			})
			a := do(uplink.New(fakeDialect{}, clock.New(), metric.New()), s, "1")
			if a.Refusal != nil || string(a.Body) != "whole" {
				convey.So(a, convey.ShouldEqual, text[:step])
			}
		}
		convey.So(text, convey.ShouldNotBeEmpty)
	})
}
