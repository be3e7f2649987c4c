package serve_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

const (
	// resetRounds is the number of calls of each case: either side of the socket may see a reset first.
	resetRounds = 25
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 8 << 20
)

// handleUploads sends long calls to an upstream that answers each with the text before it has read the call, and then resets the connection, after its FIN if fin is set.
func handleUploads(text string, fin bool) []pomelo.Answer {
	u := newScriptedUpstream(func(u *scriptedUpstream, _ int, c net.Conn) {
		u.request(c)
		_, _ = fmt.Fprint(c, text)
		if fin {
			_ = c.(*net.TCPConn).CloseWrite()
			// net/http drops a response if the write of its request fails before its end was read.
			time.Sleep(time.Second)
		}
		time.Sleep(10 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	defer func() { _ = u.listener.Close() }()
	s := newServer(u.listener.Addr().String())
	var answers []pomelo.Answer
	for i := range resetRounds {
		c := order(fmt.Sprint(i))
		c.Body = make([]byte, uploadBytes)
		answers = append(answers, s.Handle(context.Background(), c))
	}
	return answers
}

func TestResetWhileSending(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nServer-Seal: sealed\r\n\r\n"
	convey.Convey("A response without a length that a reset cuts while the request is sent is no answer", t, func() {
		for _, a := range handleUploads(head+"part", false) {
			convey.So(a.Refusal, convey.ShouldNotBeNil)
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindUpstreamFailed)
			convey.So(a.Refusal.Ran, convey.ShouldNotEqual, pomelo.RanNo)
		}
	})
	convey.Convey("One that ends with a FIN before the reset is delivered", t, func() {
		for _, a := range handleUploads(head+"whole", true) {
			convey.So(a.Refusal, convey.ShouldBeNil)
			convey.So(string(a.Body), convey.ShouldEqual, "whole")
		}
	})
}
