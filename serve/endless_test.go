package serve_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

const (
	// smallVM is the memory of the smallest VM of the deployments, in bytes.
	smallVM = 184 << 20
	// senders is the number of responses without an end at the same time.
	senders = 50
)

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

func TestEndless(t *testing.T) {
	for _, e := range []struct{ name, start, repeated string }{
		{"a header line", "HTTP/1.1 200 OK\r\nX: ", "y"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"a body", "HTTP/1.1 200 OK\r\n\r\n", "x"},
	} {
		convey.Convey("An upstream that sends "+e.name+" without an end in many responses is given up within the VM's memory", t, func() {
			block := []byte(strings.Repeat(e.repeated, 64<<10/len(e.repeated)))
			u := newScriptedUpstream(func(u *scriptedUpstream, _ int, c net.Conn) {
				u.request(c)
				_, err := fmt.Fprint(c, e.start)
				for err == nil {
					_, err = c.Write(block)
				}
			})
			defer func() { _ = u.listener.Close() }()
			s := newServer(u.listener.Addr().String())
			s.Announce(pomelo.Upstream{Service: "shop", Address: u.listener.Addr().String(), Slots: senders, Connections: senders})
			answers := make(chan pomelo.Answer, senders)
			runtime.GC()
			var calls sync.WaitGroup
			for i := range senders {
				calls.Go(func() { answers <- s.Handle(context.Background(), order(fmt.Sprint(i))) })
			}
			done := make(chan struct{})
			go func() { calls.Wait(); close(done) }()
			peak := peakHeap(done)
			close(answers)
			for a := range answers {
				convey.So(a.Refusal, convey.ShouldNotBeNil)
				convey.So(a.Refusal.Kind, convey.ShouldEqual, pomelo.KindUpstreamFailed)
			}
			t.Logf("%s: peak heap %d MB", e.name, peak>>20)
			convey.So(peak, convey.ShouldBeLessThan, smallVM/2)
		})
	}
}
