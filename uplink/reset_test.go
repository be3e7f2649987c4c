package uplink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/uplink"
	"github.com/smartystreets/goconvey/convey"
)

const (
	// resetRounds is the number of calls of each case: either side of the socket may see a reset first.
	resetRounds = 25
	// settle is the time in which the node reads what an upstream has written.
	settle = 10 * time.Millisecond
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 8 << 20
)

// resets are ways in which an upstream breaks off while it is sent a long request.
var resets = []struct {
	name string
	end  func(c *net.TCPConn, r *bufio.Reader)
}{
	{"a reset at once", func(c *net.TCPConn, _ *bufio.Reader) { reset(c) }},
	{"a reset later", func(c *net.TCPConn, _ *bufio.Reader) { time.Sleep(settle); reset(c) }},
	{"a close with unread input", func(c *net.TCPConn, _ *bufio.Reader) { time.Sleep(settle); _ = c.Close() }},
	{"a reset after a part of the request", func(c *net.TCPConn, r *bufio.Reader) {
		time.Sleep(settle)
		_, _ = io.CopyN(io.Discard, r, uploadBytes/2)
		reset(c)
	}},
}

// cutTexts are the first parts of answers.
var cutTexts = []struct{ name, text string }{
	{"in its head", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"},
	{"before its body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nServer-Seal: sealed\r\n\r\n"},
	{"in its body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nServer-Seal: sealed\r\n\r\npart"},
	{"of HTTP/1.0 in its body", "HTTP/1.0 200 OK\r\nX-Id: 1\r\nServer-Seal: sealed\r\n\r\npart"},
	{"in a body with a length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\npart"},
	{"in a chunk", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart"},
	{"between two chunks", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
	{"with a failure in its body", "HTTP/1.1 500 Failed\r\nX-Id: 1\r\nServer-Seal: sealed\r\n\r\npart"},
}

// serveEarly answers the head of each request, without its body, and then ends the connection.
func serveEarly(t *testing.T, text string, end func(c *net.TCPConn, r *bufio.Reader)) *fakeServer {
	return serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		end(c.(*net.TCPConn), r)
	})
}

// upload sends long requests and returns their answers.
func upload(s *fakeServer) []pomelo.Answer {
	body := string(make([]byte, uploadBytes))
	cl := uplink.New(fakeDialect{}, clock.New(), metric.New())
	var answers []pomelo.Answer
	for range resetRounds {
		answers = append(answers, cl.Do(context.Background(), pomelo.Instance{Address: s.address}, call("1", body)))
	}
	return answers
}

// countWhole returns the number of answers that were delivered with this body.
func countWhole(answers []pomelo.Answer, body string) int {
	n := 0
	for _, a := range answers {
		if a.Refusal == nil && string(a.Body) == body {
			n++
		}
	}
	return n
}

// countBroken returns the number of calls that were refused as failed at the upstream, and perhaps run.
func countBroken(answers []pomelo.Answer) int {
	n := 0
	for _, a := range answers {
		if a.Refusal != nil && a.Refusal.Kind == pomelo.KindUpstreamFailed && a.Refusal.Ran == pomelo.RanUnknown {
			n++
		}
	}
	return n
}

// TestResetWhileSending guards against MIXED: an answer that a reset has cut is passed on as a whole one, since the write of the request has received the reset.
func TestResetWhileSending(t *testing.T) {
	for _, x := range cutTexts {
		for _, r := range resets {
			convey.Convey("A response that is cut "+x.name+" by "+r.name+" is no answer", t, func() {
				answers := upload(serveEarly(t, x.text, r.end))
				convey.So(countBroken(answers), convey.ShouldEqual, resetRounds)
			})
		}
	}
}

// finThen returns an end that sends a FIN before another one.
func finThen(end func(c *net.TCPConn, r *bufio.Reader)) func(c *net.TCPConn, r *bufio.Reader) {
	return func(c *net.TCPConn, r *bufio.Reader) {
		_ = c.CloseWrite()
		end(c, r)
	}
}

// TestEarlyResponse checks that answers that are complete before the request was read are delivered, whatever ends the connection.
func TestEarlyResponse(t *testing.T) {
	whole := []struct{ name, text, body string }{
		{"with a length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"in chunks", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"},
		{"without a body", "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n", ""},
	}
	for _, r := range resets {
		for _, x := range whole {
			convey.Convey("An early response "+x.name+" is delivered although "+r.name+" follows", t, func() {
				answers := upload(serveEarly(t, x.text, r.end))
				convey.So(countWhole(answers, x.body), convey.ShouldEqual, resetRounds)
			})
		}
		convey.Convey("An early response without a length is delivered if a FIN ends it, although "+r.name+" follows", t, func() {
			text := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok"
			answers := upload(serveEarly(t, text, finThen(r.end)))
			convey.So(countWhole(answers, "ok"), convey.ShouldEqual, resetRounds)
		})
	}
}
