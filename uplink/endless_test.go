package uplink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/uplink"
	"github.com/smartystreets/goconvey/convey"
)

const (
	// smallVM is the memory of the smallest VM of the deployments, in bytes.
	smallVM = 184 << 20
	// bodyMemory is the part of it for bodies, in bytes.
	bodyMemory = smallVM / 8
	// deadline of the calls is far away, so that only the bounds on bytes can end them before.
	deadline = time.Minute
	// senders is the number of upstream connections that send without an end at the same time.
	senders = 50
)

// endlessSenders are bytes that are no answer and do not end: a start, and a part that is repeated until the caller closes.
var endlessSenders = []struct{ name, start, repeated string }{
	{"a status line", "HTTP/1.1 200 O", "K"},
	{"a header line", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX: ", "y"},
	{"header lines", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n", "X: y\r\n"},
	{"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
	{"headers of interim answers", "HTTP/1.1 103 Early Hints\r\n", "X: y\r\n"},
	{"answers to other calls", "", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n"},
	{"the body of an answer to another call", "HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\n", "x"},
	{"a body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", "x"},
	{"chunks of a body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
	{"a chunk's extension", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
	{"a trailer", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
}

// serveEndless answers with the start and then the repeated part, once all senders have a request, until the caller closes, and counts the bytes.
func serveEndless(t *testing.T, start, repeated string, sent *atomic.Int64) *fakeServer {
	block := []byte(strings.Repeat(repeated, 64<<10/len(repeated)))
	var requests atomic.Int64
	all := make(chan struct{})
	return serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		if requests.Add(1) == senders {
			close(all)
		}
		<-all
		_, err := io.WriteString(c, start)
		for err == nil {
			var n int
			n, err = c.Write(block)
			sent.Add(int64(n))
		}
	})
}

// peakHeap samples the heap until done is closed, and returns the highest value in bytes.
func peakHeap(done <-chan struct{}) uint64 {
	peak := uint64(0)
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
		select {
		case <-done:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// TestEndlessDrip checks responses that are too slow for any limit of bytes.
func TestEndlessDrip(t *testing.T) {
	for _, s := range endlessSenders {
		convey.Convey("A response that sends "+s.name+" without an end, a few bytes at a time, ends with the time for the call", t, func() {
			u := serve(t, func(c net.Conn, r *bufio.Reader, _ int) {
				readID(r)
				_, err := io.WriteString(c, s.start)
				for err == nil {
					time.Sleep(30 * time.Millisecond)
					_, err = io.WriteString(c, s.repeated)
				}
			})
			cl := uplink.New(fakeDialect{}, clock.New(), metric.New())
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			a := cl.Do(ctx, pomelo.Instance{Address: u.address}, call("1", "order"))
			convey.So(a.Refusal, convey.ShouldNotBeNil)
			convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindDeadline)
			convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
		})
	}
}

func TestEndless(t *testing.T) {
	for _, s := range endlessSenders {
		convey.Convey("Upstreams that send "+s.name+" without an end are given up early, within the VM's memory, and the caller is told that the call may have run", t, func() {
			var sent atomic.Int64
			u := pomelo.Instance{ID: "i", Address: serveEndless(t, s.start, s.repeated, &sent).address}
			cl := uplink.New(fakeDialect{}, clock.New(), metric.New(), uplink.WithBudget(budget.New(bodyMemory)))
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			var calls sync.WaitGroup
			answers := make(chan pomelo.Answer, senders)
			runtime.GC()
			for range senders {
				calls.Go(func() { answers <- cl.Do(ctx, u, pomelo.Call{ID: "1", Method: "GET", Path: "/", Host: "h"}) })
			}
			done := make(chan struct{})
			go func() { calls.Wait(); close(done) }()
			peak := peakHeap(done)
			close(answers)
			for a := range answers {
				convey.So(a.Refusal, convey.ShouldNotBeNil)
				convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindUpstreamFailed)
				convey.So(a.Refusal.Ran, convey.ShouldEqual, pomelo.RanUnknown)
			}
			convey.So(ctx.Err(), convey.ShouldBeNil)
			convey.So(peak, convey.ShouldBeLessThan, smallVM/2)
			t.Logf("%s: %d MB sent, peak heap %d MB", s.name, sent.Load()>>20, peak>>20)
		})
	}
}
