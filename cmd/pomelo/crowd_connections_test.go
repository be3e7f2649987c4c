package main

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo/platform"
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
				c.meanwhile = func() { convey.So(c.answers(port), convey.ShouldBeTrue) }
				c.check()
				convey.So(eventually(c.node.isReady), convey.ShouldBeTrue)
			})
		}
	}
}

// answers reports whether a listener answers a probe within servedTime, if it is repeated.
func (c *crowd) answers(port int) bool {
	client := &http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(servedTime); time.Now().Before(end); time.Sleep(crowdRetry) {
		resp, err := client.Get("http://" + c.node.address(port) + platform.PathReady)
		if err == nil {
			_ = resp.Body.Close()
			return true
		}
	}
	return false
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
