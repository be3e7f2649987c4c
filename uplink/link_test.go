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

// plain is a dialect with ids in the header X-Id.
type plain struct{}

// DecodeRequest is not used here.
func (plain) DecodeRequest(*http.Request, []byte) (pomelo.Request, error) {
	return pomelo.Request{}, nil
}

// EncodeReply is not used here.
func (plain) EncodeReply(string, pomelo.Answer) pomelo.Reply { return pomelo.Reply{} }

// UpstreamHeader names the call.
func (plain) UpstreamHeader(c pomelo.Call, _ string, _ pomelo.Millis) http.Header {
	return http.Header{"X-Id": {c.ID}}
}

// DecodeResponse compares the id.
func (plain) DecodeResponse(c pomelo.Call, status int, h http.Header) pomelo.ResponseInfo {
	return pomelo.ResponseInfo{Mismatched: h.Get("X-Id") != c.ID, NotRun: h.Get("X-Not-Run") != "", UpstreamReplaced: status == http.StatusMisdirectedRequest}
}

// script serves each connection with a function of its own making.
type script struct {
	address string
	conns   atomic.Int64
}

func serve(t *testing.T, each func(c net.Conn, r *bufio.Reader, n int)) *script {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &script{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(s.conns.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				each(c, bufio.NewReader(c), n)
			}()
		}
	}()
	return s
}

func head(r *bufio.Reader) string {
	q, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, q.Body)
	return q.Header.Get("X-Id")
}

func answer(id, body string) string {
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

// conversations are what an upstream may do to one call, and what must be said of it.
var conversations = []struct {
	name   string
	serve  func(c net.Conn, r *bufio.Reader, n int)
	body   string
	whole  bool
	ran    pomelo.Ran
	kind   pomelo.Kind
	reused bool
}{
	{
		name: "a whole answer",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			loop(c, r, func(id string) string { return answer(id, "ok") })
		},
		body: "ok", whole: true, reused: true,
	},
	{
		name: "a whole answer, and closes its connection behind it without a word",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			_, _ = io.WriteString(c, answer(head(r), "ok"))
		},
		body: "ok", whole: true,
	},
	{
		name: "an answer to another call first",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			loop(c, r, func(id string) string { return answer("stray", "no") + answer(id, "ok") })
		},
		body: "ok", whole: true,
	},
	{
		name: "a second answer behind the own one",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			loop(c, r, func(id string) string { return answer(id, "ok") + answer(id, "again") })
		},
		body: "ok", whole: true,
	},
	{
		name: "an interim answer first",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			loop(c, r, func(id string) string { return "HTTP/1.1 102 Processing\r\n\r\n" + answer(id, "ok") })
		},
		body: "ok", whole: true, reused: true,
	},
	{
		name: "no length and an orderly end",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+head(r)+"\r\n\r\nok")
		},
		body: "ok", whole: true,
	},
	{
		name: "no length and a reset",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+head(r)+"\r\n\r\nok")
			time.Sleep(20 * time.Millisecond)
			reset(c)
		},
		ran: pomelo.RanUnknown, kind: pomelo.KindUpstreamFailed,
	},
	{
		name: "an answer that breaks off",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+head(r)+"\r\nContent-Length: 20\r\n\r\nok")
		},
		ran: pomelo.RanUnknown, kind: pomelo.KindUpstreamFailed,
	},
	{
		name:  "bytes that are no answer",
		serve: func(c net.Conn, r *bufio.Reader, _ int) { head(r); _, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n") },
		ran:   pomelo.RanUnknown, kind: pomelo.KindUpstreamFailed,
	},
	{
		name:  "a close without an answer",
		serve: func(_ net.Conn, r *bufio.Reader, _ int) { head(r) },
		ran:   pomelo.RanUnknown, kind: pomelo.KindUpstreamFailed,
	},
	{
		name:  "a reset without an answer",
		serve: func(c net.Conn, r *bufio.Reader, _ int) { head(r); reset(c) },
		ran:   pomelo.RanUnknown, kind: pomelo.KindUpstreamFailed,
	},
	{
		name: "its word that it has not run the call",
		serve: func(c net.Conn, r *bufio.Reader, _ int) {
			loop(c, r, func(id string) string {
				return "HTTP/1.1 503 Full\r\nX-Id: " + id + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
			})
		},
		ran: pomelo.RanNo, kind: pomelo.KindOverload, reused: true,
	},
	{
		name:  "no answer at all",
		serve: func(_ net.Conn, r *bufio.Reader, _ int) { head(r); time.Sleep(2 * time.Second) },
		ran:   pomelo.RanUnknown, kind: pomelo.KindDeadline,
	},
}

func loop(c net.Conn, r *bufio.Reader, say func(id string) string) {
	for {
		id := head(r)
		if id == "" {
			return
		}
		if _, err := io.WriteString(c, say(id)); err != nil {
			return
		}
	}
}

func TestConversations(t *testing.T) {
	for _, v := range conversations {
		convey.Convey("An upstream that gives "+v.name, t, func() {
			s := serve(t, v.serve)
			l := uplink.New(plain{}, clock.New(), metric.New())
			u := pomelo.Instance{Address: s.address}
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			a := l.Do(ctx, u, call("1", "order"))
			convey.So(a.Refusal == nil, convey.ShouldEqual, v.whole)
			if v.whole {
				convey.So(string(a.Body), convey.ShouldEqual, v.body)
			} else {
				convey.So(a.Refusal.Ran, convey.ShouldEqual, v.ran)
				convey.So(a.Refusal.Kind, convey.ShouldEqual, v.kind)
			}
			// Whatever came with the first call must not be taken for the second one's.
			time.Sleep(30 * time.Millisecond)
			ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			b := l.Do(ctx, u, call("2", "order"))
			convey.So(b.Refusal == nil, convey.ShouldEqual, v.whole)
			convey.So(s.conns.Load() == 1, convey.ShouldEqual, v.reused)
		})
	}
}

func TestUnreachable(t *testing.T) {
	convey.Convey("A call to a closed port has not run", t, func() {
		l := uplink.New(plain{}, clock.New(), metric.New())
		a := l.Do(context.Background(), pomelo.Instance{Address: "127.0.0.1:1"}, call("1", ""))
		convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindNoUpstream)
	})
}

func TestEarlyAnswer(t *testing.T) {
	convey.Convey("An answer before the body is read ends the use of its connection, so that no byte of the rest can be taken for a request", t, func() {
		s := serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(q.Header.Get("X-Id"), "ok"))
			time.Sleep(200 * time.Millisecond)
		})
		l := uplink.New(plain{}, clock.New(), metric.New())
		big := strings.Repeat("x", 16<<20)
		for i, id := range []string{"1", "2"} {
			a := l.Do(context.Background(), pomelo.Instance{Address: s.address}, call(id, big))
			convey.So(a.Refusal, convey.ShouldBeNil)
			convey.So(s.conns.Load(), convey.ShouldEqual, i+1)
		}
	})
}

func TestGivenUpBefore(t *testing.T) {
	convey.Convey("A call whose caller has left before is not sent, on a kept connection either", t, func() {
		taken := make(chan string, 8)
		s := serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
			for {
				id := head(r)
				if id == "" {
					return
				}
				taken <- id
				_, _ = io.WriteString(c, answer(id, ""))
			}
		})
		l := uplink.New(plain{}, clock.New(), metric.New())
		a := l.Do(context.Background(), pomelo.Instance{Address: s.address}, call("1", ""))
		convey.So(a.Refusal, convey.ShouldBeNil)
		convey.So(<-taken, convey.ShouldEqual, "1")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		a = l.Do(ctx, pomelo.Instance{Address: s.address}, call("2", ""))
		convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanNo)
		a = l.Do(context.Background(), pomelo.Instance{Address: s.address}, call("3", ""))
		convey.So(a.Refusal, convey.ShouldBeNil)
		convey.So(<-taken, convey.ShouldEqual, "3")
	})
}

func TestCancel(t *testing.T) {
	convey.Convey("A caller that leaves has the upstream's connection closed at once", t, func() {
		closed := make(chan error, 1)
		s := serve(t, func(_ net.Conn, r *bufio.Reader, _ int) {
			head(r)
			_, err := r.ReadByte()
			closed <- err
		})
		l := uplink.New(plain{}, clock.New(), metric.New())
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, cancel)
		a := l.Do(ctx, pomelo.Instance{Address: s.address}, call("1", ""))
		convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindCanceled)
		convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
		convey.So(errors.Is(<-closed, io.EOF), convey.ShouldBeTrue)
	})
}
