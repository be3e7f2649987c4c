package mesh_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// malformed are messages that no caller, upstream or platform sends.
var malformed = []string{
	"\x00\x01\x02\x03\r\n\r\n",
	"GET\r\n\r\n",
	"GET /a/x HTTP/9.9\r\n\r\n",
	"GET /a/%zz HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: m\r\n\r\n",
	"GET /a/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: m\r\nDeadline-Ms: NaN\r\n\r\n",
	"GET /a/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: m\r\nDeadline-Ms: 1e309\r\nAuthorization: Bearer\r\n\r\n",
	"POST /a/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: m\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	"POST /a/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: m\r\nContent-Length: -1\r\n\r\n",
	"POST /a/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 99999999999999999999\r\n\r\n",
	"POST /instances/i-0/heartbeat HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n[]",
	"POST /instances/i-0/heartbeat HTTP/1.1\r\nHost: h\r\nContent-Length: 43\r\n\r\n{\"address\":7,\"info\":[],\"status\":{\"seq\":1e9}}",
	"POST /instances/%00/deregister HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nnull",
	"GET /readiness HTTP/1.1\r\nHost: " + strings.Repeat("h", 100_000) + "\r\n\r\n",
	"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
}

// sendRaw sends the bytes on a connection of its own and reads what comes back.
func sendRaw(network, address, message string) {
	c, err := net.Dial(network, address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(50 * time.Millisecond))
	_, _ = io.WriteString(c, message)
	_, _ = io.Copy(io.Discard, c)
}

func TestMalformedMessages(t *testing.T) {
	convey.Convey("No malformed message to any listener ends the process, or keeps the next request from its answer", t, func() {
		f := newFleet(t, 2)
		f.waitReady()
		a := f.nodes[0]
		random := rand.New(rand.NewPCG(1, 2))
		listeners := map[string]string{
			a.settings.CallerAddress:  "tcp",
			a.settings.ControlAddress: "tcp",
			a.settings.ReadyAddress:   "tcp",
			a.settings.PeerAddress:    "udp",
		}
		for address, network := range listeners {
			for _, m := range malformed {
				sendRaw(network, address, m)
			}
			for range 20 {
				b := make([]byte, random.IntN(1_300))
				for i := range b {
					b[i] = byte(random.IntN(256))
				}
				sendRaw(network, address, string(b))
			}
		}
		for i, m := range f.nodes {
			status, _ := m.send("GET", "/a/x", fmt.Sprint("after", i), "")
			convey.So(status, convey.ShouldEqual, http.StatusOK)
			convey.So(m.heartbeat("ready", 1_000), convey.ShouldEqual, http.StatusOK)
			convey.So(m.log.String(), convey.ShouldNotContainSubstring, "panic_recovered")
		}
	})
}
