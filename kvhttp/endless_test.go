package kvhttp_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/kvhttp"
	"github.com/smartystreets/goconvey/convey"
)

const (
	// enoughBytes is what a store in trouble sends here at most, if nobody closes its connection.
	enoughBytes = 256 << 20
	// maxTaken is more than the longest response and the buffers of a connection hold, in bytes.
	maxTaken = 32 << 20
)

// endless are responses without an end: a start, and a part that is repeated.
var endless = []struct{ name, start, repeated string }{
	{"a status line", "HTTP/1.1 200 O", "K"},
	{"a header line", "HTTP/1.1 200 OK\r\nX: ", "y"},
	{"header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
	{"a body", "HTTP/1.1 200 OK\r\n\r\n", "["},
	{"chunks of a body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n" + strings.Repeat(" ", 16) + "\r\n"},
	{"a failure's body", "HTTP/1.1 500 Failed\r\n\r\n", "x"},
}

// repeat writes the part until the caller closes or enough was sent, and counts the bytes.
func repeat(part string, sent *atomic.Int64) func(c net.Conn) {
	block := []byte(strings.Repeat(part, 64<<10/len(part)))
	return func(c net.Conn) {
		for sent.Load() < enoughBytes {
			n, err := c.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
}

func TestEndless(t *testing.T) {
	for _, e := range endless {
		convey.Convey("A store that sends "+e.name+" without an end is given up early, and a write may have taken effect", t, func() {
			var sent atomic.Int64
			url := serveRaw(t, e.start, repeat(e.repeated, &sent))
			_, err := kvhttp.New(url, kvhttp.WithTimeout(longTimeout)).Put(context.Background(), pomelo.Write{Key: "a"})
			shouldBeUnavailable(err, pomelo.RanUnknown)
			convey.So(sent.Load(), convey.ShouldBeLessThan, maxTaken)
		})
	}
}
