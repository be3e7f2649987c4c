package kvhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/kvhttp"
	"github.com/smartystreets/goconvey/convey"
)

// serveRaw sends the text on each connection once its request has begun, and then what write adds.
func serveRaw(t *testing.T, text string, write func(c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	convey.So(err, convey.ShouldBeNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = c.Read(make([]byte, http.DefaultMaxHeaderBytes))
				_, _ = io.WriteString(c, text)
				write(c)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestBadHead guards against a store's response that is none: a conflict states that a write has not taken effect.
func TestBadHead(t *testing.T) {
	const fault = `{"kind":"conflict","message":"m","remedy":"r","ran":"no"}`
	for _, head := range []string{"HTTP/1.1 000 Trouble\r\n\r\n", "HTTP/1.1 600 Trouble\r\n\r\n", "HTTP/1.1 409 Conflict\r\nX Y: 1\r\n\r\n"} {
		convey.Convey("A response that begins with "+head[:12]+" leaves open whether a write took effect", t, func() {
			url := serveRaw(t, head+fault, func(net.Conn) {})
			_, err := kvhttp.New(url).Put(context.Background(), pomelo.Write{Key: "a"})
			shouldBeUnavailable(err, pomelo.RanUnknown)
		})
	}
}

func TestLongError(t *testing.T) {
	convey.Convey("A response whose head is one long invalid line is refused for a short reason", t, func() {
		url := serveRaw(t, "HTTP/1.1 200 OK\r\n"+strings.Repeat("\x00", 60_000)+": 1\r\n\r\n", func(net.Conn) {})
		_, err := kvhttp.New(url).Get(context.Background(), "a")
		shouldBeUnavailable(err, pomelo.RanNo)
		convey.So(len(err.Error()), convey.ShouldBeLessThan, 512)
	})
}
