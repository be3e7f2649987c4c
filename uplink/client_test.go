package uplink_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/uplink"
	"github.com/smartystreets/goconvey/convey"
)

// fakeDialect is a dialect that carries call ids in the header X-Id.
type fakeDialect struct{}

// DecodeRequest is not used here.
func (fakeDialect) DecodeRequest(*http.Request, []byte) (pomelo.Request, error) {
	return pomelo.Request{}, nil
}

// EncodeReply is not used here.
func (fakeDialect) EncodeReply(string, pomelo.Answer) pomelo.Reply { return pomelo.Reply{} }

// UpstreamHeader sets the header to the id of the call.
func (fakeDialect) UpstreamHeader(c pomelo.Call, _ string, _ pomelo.Millis) http.Header {
	return http.Header{"X-Id": {c.ID}}
}

// DecodeResponse compares the response's id with that of the call.
func (fakeDialect) DecodeResponse(c pomelo.Call, status int, h http.Header) pomelo.ResponseInfo {
	id, notRun := h.Get("X-Id"), h.Get("X-Not-Run") != ""
	return pomelo.ResponseInfo{Mismatched: id != c.ID && (id != "" || !notRun), Unnamed: id == "", NotRun: notRun, UpstreamReplaced: status == http.StatusMisdirectedRequest}
}

// DecodeHealth takes each response with the id of the upstream as one of a warm upstream.
func (fakeDialect) DecodeHealth(upstream string, _ int, h http.Header) (pomelo.ResponseInfo, bool) {
	return pomelo.ResponseInfo{}, h.Get("X-Id") == upstream
}

// fakeServer handles each connection with a function of the test.
type fakeServer struct {
	address string
	conns   atomic.Int64
}

func serve(t *testing.T, handle func(c net.Conn, r *bufio.Reader, n int)) *fakeServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &fakeServer{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(s.conns.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				handle(c, bufio.NewReader(c), n)
			}()
		}
	}()
	return s
}

// readID reads one request and returns its call id; empty at the end of the connection.
func readID(r *bufio.Reader) string {
	q, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, q.Body)
	return q.Header.Get("X-Id")
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	return string(rune('0'+n/10)) + string(rune('0'+n%10))
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func call(id string, body string) pomelo.Call {
	return pomelo.Call{ID: id, Method: "POST", Path: "/x", Host: "h", Body: []byte(body)}
}

// conversations lists how an upstream may respond to one call, and the answer that must result.
var conversations = []struct {
	name     string
	serve    func(c net.Conn, r *bufio.Reader, n int)
	body     string
	complete bool
	ran      pomelo.Ran
	kind     pomelo.Kind
	reused   bool
}{
	{
		name: "a complete response",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			respond(c, r, func(id string) string { return response(id, "ok") })
		},
		body: "ok", complete: true, reused: true,
	},
	{
		name: "a complete response, and then closes its connection",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			_, _ = io.WriteString(c, response(readID(r), "ok"))
		},
		body: "ok", complete: true,
	},
	{
		name: "a response to another call first",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			respond(c, r, func(id string) string { return response("other", "no") + response(id, "ok") })
		},
		body: "ok", complete: true,
	},
	{
		name: "a second response after the expected one",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			respond(c, r, func(id string) string { return response(id, "ok") + response(id, "again") })
		},
		body: "ok", complete: true,
	},
	{
		name: "an interim response first",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			respond(c, r, func(id string) string { return "HTTP/1.1 102 Processing\r\n\r\n" + response(id, "ok") })
		},
		body: "ok", complete: true, reused: true,
	},
	{
		name: "a response without a length that ends with a close",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+readID(r)+"\r\n\r\nok")
		},
		body: "ok", complete: true,
	},
	{
		name: "a response without a length that ends with a reset",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+readID(r)+"\r\n\r\nok")
			time.Sleep(20 * time.Millisecond)
			reset(c)
		},
		ran: pomelo.RanUnknown, kind: pomelo.KindUpstreamFailed,
	},
	{
		name: "a truncated response",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+readID(r)+"\r\nContent-Length: 20\r\n\r\nok")
		},
		ran: pomelo.RanUnknown, kind: pomelo.KindUpstreamFailed,
	},
	{
		name: "bytes that are no HTTP response",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			readID(r)
			_, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n")
		},
		ran: pomelo.RanUnknown, kind: pomelo.KindUpstreamFailed,
	},
	{
		name:  "a close without a response",
		serve: func(_ net.Conn, r *bufio.Reader, _ int) { readID(r) },
		ran:   pomelo.RanUnknown, kind: pomelo.KindUpstreamFailed,
	},
	{
		name:  "a reset without a response",
		serve: func(c net.Conn, r *bufio.Reader, _ int) { readID(r); reset(c) },
		ran:   pomelo.RanUnknown, kind: pomelo.KindUpstreamFailed,
	},
	{
		name: "a statement that it has not run the call",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			respond(c, r, func(id string) string {
				return "HTTP/1.1 503 Full\r\nX-Id: " + id + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
			})
		},
		ran: pomelo.RanNo, kind: pomelo.KindOverload, reused: true,
	},
	{
		name:  "no response at all",
		serve: func(_ net.Conn, r *bufio.Reader, _ int) { readID(r); time.Sleep(2 * time.Second) },
		ran:   pomelo.RanUnknown, kind: pomelo.KindDeadline,
	},
}

// respond answers each request of the connection with the text that responseTo returns for its call id.
func respond(c net.Conn, r *bufio.Reader, responseTo func(id string) string) {
	for {
		id := readID(r)
		if id == "" {
			return
		}
		if _, err := io.WriteString(c, responseTo(id)); err != nil {
			return
		}
	}
}

func TestConversations(t *testing.T) {
	for _, tc := range conversations {
		convey.Convey("An upstream that gives "+tc.name, t, func() {
			s := serve(t, tc.serve)
			cl := uplink.New(fakeDialect{}, clock.New(), metric.New())
			u := pomelo.Instance{Address: s.address}
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			a := cl.Do(ctx, u, call("1", "order"))
			convey.So(a.Refusal == nil, convey.ShouldEqual, tc.complete)
			if tc.complete {
				convey.So(string(a.Body), convey.ShouldEqual, tc.body)
			} else {
				convey.So(a.Refusal.Ran, convey.ShouldEqual, tc.ran)
				convey.So(a.Refusal.Kind, convey.ShouldEqual, tc.kind)
			}
			// Nothing that arrived for the first call may be taken for a response to the second.
			time.Sleep(30 * time.Millisecond)
			ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			b := cl.Do(ctx, u, call("2", "order"))
			convey.So(b.Refusal == nil, convey.ShouldEqual, tc.complete)
			convey.So(s.conns.Load() == 1, convey.ShouldEqual, tc.reused)
		})
	}
}

func TestUnreachable(t *testing.T) {
	convey.Convey("A call to a closed port has not run", t, func() {
		cl := uplink.New(fakeDialect{}, clock.New(), metric.New())
		a := cl.Do(context.Background(), pomelo.Instance{Address: "127.0.0.1:1"}, call("1", ""))
		convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindNoUpstream)
	})
}

func TestEarlyAnswer(t *testing.T) {
	convey.Convey("After a response that arrives before the body is read the connection is not reused, so that the rest of the body is not taken for a request", t, func() {
		s := serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, response(q.Header.Get("X-Id"), "ok"))
			time.Sleep(200 * time.Millisecond)
		})
		cl := uplink.New(fakeDialect{}, clock.New(), metric.New())
		body := strings.Repeat("x", 16<<20)
		for i, id := range []string{"1", "2"} {
			a := cl.Do(context.Background(), pomelo.Instance{Address: s.address}, call(id, body))
			convey.So(a.Refusal, convey.ShouldBeNil)
			convey.So(s.conns.Load(), convey.ShouldEqual, i+1)
		}
	})
}

func TestGivenUpBefore(t *testing.T) {
	convey.Convey("A cancelled call is not sent, even if a connection is idle", t, func() {
		received := make(chan string, 8)
		s := serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
			for {
				id := readID(r)
				if id == "" {
					return
				}
				received <- id
				_, _ = io.WriteString(c, response(id, ""))
			}
		})
		cl := uplink.New(fakeDialect{}, clock.New(), metric.New())
		a := cl.Do(context.Background(), pomelo.Instance{Address: s.address}, call("1", ""))
		convey.So(a.Refusal, convey.ShouldBeNil)
		convey.So(<-received, convey.ShouldEqual, "1")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		a = cl.Do(ctx, pomelo.Instance{Address: s.address}, call("2", ""))
		convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		a = cl.Do(context.Background(), pomelo.Instance{Address: s.address}, call("3", ""))
		convey.So(a.Refusal, convey.ShouldBeNil)
		convey.So(<-received, convey.ShouldEqual, "3")
	})
}

func TestCancel(t *testing.T) {
	convey.Convey("Cancelling a call closes the upstream's connection at once", t, func() {
		closed := make(chan error, 1)
		s := serve(t, func(_ net.Conn, r *bufio.Reader, _ int) {
			readID(r)
			_, err := r.ReadByte()
			closed <- err
		})
		cl := uplink.New(fakeDialect{}, clock.New(), metric.New())
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, cancel)
		a := cl.Do(ctx, pomelo.Instance{Address: s.address}, call("1", ""))
		convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindCanceled)
		convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
		convey.So(errors.Is(<-closed, io.EOF), convey.ShouldBeTrue)
	})
}
