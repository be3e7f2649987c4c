package main

import (
	"io"
	"net"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// silentClients is more than max_fds (600) in the tests of descriptors.
const silentClients = 900

func lowDescriptors() siteLimits {
	return siteLimits{memoryMB: crowdMemoryMB, maxFDs: crowdFDs, maxBody: 1 << 20}
}

func TestCrowdSilentConnections(t *testing.T) {
	convey.Convey("Clients that connect, send nothing and come back leave descriptors for others", t, func() {
		c := newCrowd(t, lowDescriptors())
		c.join(silentClients, c.node.address(siteCallerPort), c.stayOpen)
		c.check()
	})
}

func TestCrowdIdleConnections(t *testing.T) {
	convey.Convey("Clients that keep their connection after a request and come back leave descriptors for others", t, func() {
		c := newCrowd(t, lowDescriptors())
		c.join(silentClients, c.node.address(siteCallerPort), func(conn net.Conn) {
			_, _ = io.WriteString(conn, c.requestHead("GET", "/nowhere/a")+"\r\n")
			c.stayOpen(conn)
		})
		c.check()
	})
}

func TestCrowdAtOtherDoors(t *testing.T) {
	for name, port := range map[string]int{"ready": siteReadyPort, "control": siteControlPort, "metrics": siteMetricsPort} {
		for habit, f := range map[string]func(c *crowd, conn net.Conn){
			"send nothing":     func(c *crowd, conn net.Conn) { c.stayOpen(conn) },
			"send half a head": func(c *crowd, conn net.Conn) { c.write(conn, "GET /readiness HTTP/1.1\r\nHost: x\r\n") },
			"stop in their body": func(c *crowd, conn net.Conn) {
				c.write(conn, "POST /instances/x/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n{")
			},
			"read no answer": func(c *crowd, conn net.Conn) { c.writeOn(conn, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n") },
		} {
			crowdForm(t, "Clients of the listener "+name+" leave the node to others: they "+habit, func(t *testing.T) {
				c := newCrowd(t, lowDescriptors())
				c.join(silentClients, c.node.address(port), func(conn net.Conn) { f(c, conn) })
				c.check()
				convey.So(eventually(c.node.isReady), convey.ShouldBeTrue)
			})
		}
	}
}

func (c *crowd) write(conn net.Conn, text string) {
	_, _ = io.WriteString(conn, text)
	c.stayOpen(conn)
}

// writeOn sends the text again and again and reads nothing.
func (c *crowd) writeOn(conn net.Conn, text string) {
	for c.pause(answerPause) {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}
