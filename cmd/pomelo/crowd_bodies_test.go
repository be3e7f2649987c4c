package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Bodies of a crowd, in bytes: the sums are 150 x 1 MiB = 150 MiB and 2,400 x 60,000 = 137 MiB, with 128 MB of memory.
const (
	unfinishedBody   = 1 << 20
	unfinishedBodies = 150
	smallBody        = 60_000
	smallBodies      = 2400
	chunkedBytes     = 100_000
	bodyPieces       = 64
	bodyPause        = 20 * time.Millisecond
)

// The largest body that the platform's policy allows, in bytes, and the memory of its machines.
const (
	largestBody      = 64 << 20
	platformMemoryMB = 284
)

// TestCrowdOfOneLargeBody is no crowd: what the limits allow is served in calm.
func TestCrowdOfOneLargeBody(t *testing.T) {
	convey.Convey("A single request with the largest legal body is served, and leaves the nodes within their memory", t, func() {
		c := newCrowd(t, siteLimits{memoryMB: platformMemoryMB, maxFDs: platformFDs, maxBody: largestBody})
		for range 3 {
			convey.So(c.isServed(largestBody), convey.ShouldBeTrue)
		}
		c.end()
		c.checkProcesses()
	})
}

// upload sends the head and the body in pieces, and stops short of the last bytes.
func (c *crowd) upload(conn net.Conn, bytes, pieces int, pause time.Duration) {
	if _, err := io.WriteString(conn, c.requestHead("POST", "/book/a")+fmt.Sprintf("Content-Length: %d\r\n\r\n", bytes)); err != nil {
		return
	}
	piece := strings.Repeat("x", (bytes-1)/pieces)
	for range pieces {
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
		if pause > 0 && !c.pause(pause) {
			return
		}
	}
	c.stayOpen(conn)
}

func TestCrowdUnfinishedBodies(t *testing.T) {
	convey.Convey("Clients whose long bodies stop just short of their end leave memory for others", t, func() {
		c := newCrowd(t, crowdLimits())
		c.join(unfinishedBodies, c.node.address(siteCallerPort), func(conn net.Conn) { c.upload(conn, unfinishedBody, 1, 0) })
		c.check()
	})
}

func TestCrowdBodiesInPieces(t *testing.T) {
	convey.Convey("Clients whose long bodies come piece by piece and stop short of their end leave memory for others", t, func() {
		c := newCrowd(t, crowdLimits())
		c.join(unfinishedBodies, c.node.address(siteCallerPort), func(conn net.Conn) { c.upload(conn, unfinishedBody, bodyPieces, bodyPause) })
		c.check()
	})
}

func TestCrowdSmallBodies(t *testing.T) {
	convey.Convey("Many clients whose short bodies stop short of their end leave the node within its memory", t, func() {
		c := newCrowd(t, crowdLimits())
		c.join(smallBodies, c.node.address(siteCallerPort), func(conn net.Conn) { c.upload(conn, smallBody, 1, 0) })
		c.check()
	})
}

func TestCrowdChunksOfOneByte(t *testing.T) {
	convey.Convey("Clients whose bodies come in chunks of a byte without an end leave memory for others", t, func() {
		c := newCrowd(t, crowdLimits())
		chunks := strings.Repeat("1\r\nx\r\n", chunkedBytes/bodyPieces)
		c.join(unfinishedBodies, c.node.address(siteCallerPort), func(conn net.Conn) {
			_, _ = io.WriteString(conn, c.requestHead("POST", "/book/a")+"Transfer-Encoding: chunked\r\n\r\n")
			for range bodyPieces {
				if _, err := io.WriteString(conn, chunks); err != nil || !c.pause(bodyPause) {
					return
				}
			}
			c.stayOpen(conn)
		})
		c.check()
	})
}

func TestCrowdWholeBodies(t *testing.T) {
	convey.Convey("Clients that send whole long bodies one after the other leave the nodes within their memory", t, func() {
		c := newCrowd(t, crowdLimits())
		body := strings.Repeat("x", unfinishedBody)
		c.join(unfinishedBodies, c.node.address(siteCallerPort), func(conn net.Conn) {
			_, _ = io.WriteString(conn, c.requestHead("POST", "/book/a?work=500")+fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", unfinishedBody))
			if _, err := io.WriteString(conn, body); err == nil {
				_, _ = io.Copy(io.Discard, conn)
			}
		})
		c.check()
	})
}

// TestCrowdWithoutKey has bodies refused only after they were read.
func TestCrowdWithoutKey(t *testing.T) {
	convey.Convey("Clients without a key whose bodies stop short of their end leave memory for others", t, func() {
		c := newCrowd(t, crowdLimits())
		c.join(unfinishedBodies, c.node.address(siteCallerPort), func(conn net.Conn) {
			_, _ = io.WriteString(conn, fmt.Sprintf("POST /book/a HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", siteHost, unfinishedBody, strings.Repeat("x", unfinishedBody-1)))
			c.stayOpen(conn)
		})
		c.check()
	})
}
