package strict_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo/strict"
	"github.com/smartystreets/goconvey/convey"
)

// rawServer sends the same text in response to each request, and counts its connections.
type rawServer struct {
	url   string
	conns atomic.Int64
}

func newRawServer(t *testing.T, text string) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	convey.So(err, convey.ShouldBeNil)
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{url: "http://" + l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go serveText(c, text)
		}
	}()
	return s
}

func serveText(c net.Conn, text string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

func TestTransport(t *testing.T) {
	convey.Convey("A valid response is returned, and its connection used again", t, func() {
		s := newRawServer(t, "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno")
		c := http.Client{Transport: strict.New(&http.Transport{})}
		for range 2 {
			resp, err := c.Get(s.url)
			convey.So(err, convey.ShouldBeNil)
			b, err := io.ReadAll(resp.Body)
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(b), convey.ShouldEqual, "no")
		}
		convey.So(s.conns.Load(), convey.ShouldEqual, 1)
	})
	for _, text := range []string{
		"HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 600 Trouble\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX Y: 1\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n",
	} {
		convey.Convey("A response "+text[:12]+" is an error, and its connection is closed", t, func() {
			s := newRawServer(t, text)
			c := http.Client{Transport: strict.New(&http.Transport{})}
			for n := range 2 {
				_, err := c.Get(s.url)
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(s.conns.Load(), convey.ShouldEqual, n+1)
			}
		})
	}
}

func TestBodyLimit(t *testing.T) {
	convey.Convey("A body over the limit is an error after the limit, and one of its length is not", t, func() {
		s := newRawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		for limit, want := range map[int64]string{4: "whol", 5: "whole"} {
			c := http.Client{Transport: strict.New(&http.Transport{}, strict.WithBodyLimit(limit))}
			resp, err := c.Get(s.url)
			convey.So(err, convey.ShouldBeNil)
			b, err := io.ReadAll(resp.Body)
			convey.So(string(b), convey.ShouldEqual, want)
			var tooLarge *http.MaxBytesError
			convey.So(errors.As(err, &tooLarge), convey.ShouldEqual, limit == 4)
		}
	})
	convey.Convey("A head over its limit is an error", t, func() {
		s := newRawServer(t, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("y", 1<<20)+"\r\nContent-Length: 0\r\n\r\n")
		c := http.Client{Transport: strict.New(&http.Transport{})}
		_, err := c.Get(s.url)
		convey.So(err, convey.ShouldNotBeNil)
	})
}
