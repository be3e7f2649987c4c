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

// Answers of a crowd, in bytes: the sums are 40 x 6 MiB = 240 MiB and 24 x 32 x 256 KiB = 192 MiB, with 128 MB of memory.
const (
	longAnswer       = 6 << 20
	longAnswers      = 40
	pipelinedAnswer  = 256 << 10
	pipelinedClients = 24
	pipelineDepth    = 32
	// slowReadBytes are read at each slowReadPause.
	slowReadBytes = 16 << 10
	slowReadPause = 250 * time.Millisecond
	// answerPause is the time between two requests of the crowd, so that the upstreams can answer all.
	answerPause = 30 * time.Millisecond
)

func crowdLimits() siteLimits {
	return siteLimits{memoryMB: crowdMemoryMB, maxFDs: platformFDs, maxBody: 1 << 20}
}

func (c *crowd) getLong(conn net.Conn, bytes int) {
	_, _ = io.WriteString(conn, c.requestHead("GET", fmt.Sprintf("/playlist/a?work=1&answer=%d", bytes))+"\r\n")
}

// joinInTurn adds clients one after the other.
func (c *crowd) joinInTurn(clients int, f func(conn net.Conn)) {
	for range clients {
		c.join(1, c.node.address(siteCallerPort), f)
		c.pause(answerPause)
	}
}

func TestCrowdUnreadAnswers(t *testing.T) {
	convey.Convey("Clients that never read their long answers leave the nodes within their memory", t, func() {
		c := newCrowd(t, crowdLimits())
		c.joinInTurn(longAnswers, func(conn net.Conn) {
			c.getLong(conn, longAnswer)
			c.stayOpen(conn)
		})
		c.check()
	})
}

func TestCrowdSlowReaders(t *testing.T) {
	convey.Convey("Clients that read their long answers slowly leave the nodes within their memory", t, func() {
		c := newCrowd(t, crowdLimits())
		c.joinInTurn(longAnswers, func(conn net.Conn) {
			c.getLong(conn, longAnswer)
			c.readSlowly(conn)
		})
		c.check()
	})
}

func (c *crowd) readSlowly(conn net.Conn) {
	for c.pause(slowReadPause) {
		if _, err := io.CopyN(io.Discard, conn, slowReadBytes); err != nil {
			return
		}
	}
}

func TestCrowdPipelinedAnswers(t *testing.T) {
	convey.Convey("Clients that pipeline requests and read no answer leave the nodes within their memory", t, func() {
		c := newCrowd(t, crowdLimits())
		c.joinInTurn(pipelinedClients, func(conn net.Conn) {
			for range pipelineDepth {
				c.getLong(conn, pipelinedAnswer)
				c.pause(answerPause / 4)
			}
			c.stayOpen(conn)
		})
		c.check()
	})
}

// TestCrowdInPlannedStop has both kinds of stalled clients at a node that is stopped while it works on an order.
func TestCrowdInPlannedStop(t *testing.T) {
	convey.Convey("A planned stop with a crowd of stalled clients ends in its grace time, and what ran is answered", t, func() {
		c := newCrowd(t, crowdLimits())
		c.joinInTurn(longAnswers/2, func(conn net.Conn) {
			c.getLong(conn, longAnswer)
			c.stayOpen(conn)
		})
		c.join(unfinishedBodies/2, c.node.address(siteCallerPort), func(conn net.Conn) {
			_, _ = io.WriteString(conn, c.requestHead("POST", "/book/a")+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", unfinishedBody, strings.Repeat("x", unfinishedBody/2)))
			c.stayOpen(conn)
		})
		c.pause(crowdTime)
		calls := &lateCaller{site: c.site, answers: map[string]siteAnswer{}}
		calls.running.Go(func() { calls.order(c.node, "running-at-stop", "/book/", 1000) })
		time.Sleep(300 * time.Millisecond)
		took := c.node.stop()
		calls.running.Wait()
		convey.So(took, convey.ShouldBeLessThan, siteGrace)
		convey.So(calls.answers["running-at-stop"].body, convey.ShouldStartWith, "running-at-stop ")
		convey.So(peakMemoryMB(c.watched[1].pid), convey.ShouldBeBetween, 0, crowdMemoryMB+1)
	})
}
