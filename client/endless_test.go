package client_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/client"
	"github.com/smartystreets/goconvey/convey"
)

const (
	// enoughBytes is what a node in trouble sends here at most, if nobody closes its connection.
	enoughBytes = 256 << 20
	// maxTaken is more than the longest response and the buffers of a connection hold, in bytes.
	maxTaken = 32 << 20
)

func TestEndless(t *testing.T) {
	convey.Convey("A node that sends a body without an end is given up early, and a change is in doubt", t, func() {
		var sent atomic.Int64
		block := []byte(strings.Repeat(" ", 64<<10))
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for sent.Load() < enoughBytes {
				n, err := w.Write(block)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		}))
		defer h.Close()
		_, err := client.New(strings.TrimPrefix(h.URL, "http://")).Command(context.Background(), pomelo.CommandRequest{ID: "x", Command: setA})
		convey.So(pomelo.FaultOf(err).Kind, convey.ShouldEqual, pomelo.KindInDoubt)
		convey.So(sent.Load(), convey.ShouldBeLessThan, maxTaken)
	})
}
