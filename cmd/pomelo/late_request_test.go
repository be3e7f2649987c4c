package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// lateCaller sends requests at set times around the stop of a node, over connections of their own.
type lateCaller struct {
	site    *site
	stopAt  time.Time
	running sync.WaitGroup
	mu      sync.Mutex
	answers map[string]siteAnswer
}

// at runs f at a time after the stop, which is negative before it.
func (c *lateCaller) at(d time.Duration, f func()) {
	c.running.Go(func() {
		time.Sleep(time.Until(c.stopAt.Add(d)))
		f()
	})
}

func orderText(id, path string, work int) string {
	return fmt.Sprintf("POST %s?work=%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer %s\r\nContent-Length: 5\r\n\r\norder", path, work, siteHost, id, siteKey)
}

// order sends one order to the node on a new connection and records its answer.
func (c *lateCaller) order(n *siteNode, id, path string, work int) {
	conn, err := net.Dial("tcp", n.address(siteCallerPort))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, orderText(id, path, work))
	c.read(bufio.NewReader(conn), n, id, path)
}

// read reads the next answer; status 0 means that there is no whole one.
func (c *lateCaller) read(r *bufio.Reader, n *siteNode, id, path string) {
	a := siteAnswer{id: id, vm: n.vm, path: path, at: c.site.since()}
	resp, err := http.ReadResponse(r, nil)
	if err == nil {
		var b []byte
		if b, err = io.ReadAll(resp.Body); err == nil {
			a.status, a.body = resp.StatusCode, string(b)
		}
	}
	if err != nil {
		a.fault = err.Error()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[id] = a
	c.site.orders.answered(a)
}

// lost returns the stories of the orders that ran and have no whole answer of an upstream, except of those that were sent in the first half of the grace period and run at its end.
func (c *lateCaller) lost() (out []string) {
	c.site.orders.mu.Lock()
	defer c.site.orders.mu.Unlock()
	for _, a := range c.answers {
		runs := c.site.orders.runs[a.id]
		if a.id == "too-long" && a.status == http.StatusGatewayTimeout {
			continue
		}
		if len(runs) > 0 && !strings.HasPrefix(a.body, a.id+" ") {
			out = append(out, c.site.story("LOST", a, runs))
		}
	}
	return out
}

// TestLateRequestsInPlannedStop guards against requests that a stopping node takes late in its grace period and cuts off at its end (LOST).
func TestLateRequestsInPlannedStop(t *testing.T) {
	convey.Convey("A node that stops answers what it has taken, and refuses early what it can not answer", t, func() {
		s := newSite(t, 1, 2, siteGrace)
		s.awaitReady()
		entry, n := s.nodes[0], s.nodes[1]
		c := &lateCaller{site: s, stopAt: time.Now().Add(2 * time.Second), answers: map[string]siteAnswer{}}
		c.at(-500*time.Millisecond, func() { c.pipelined(n) })
		c.at(1500*time.Millisecond, func() { c.lateBody(n) })
		for k := range 30 {
			// The upstream has 12 slots and room for 9 more, one of two.
			c.at(-300*time.Millisecond, func() { c.order(entry, fmt.Sprint("queued-", k), "/book/", 1500) })
		}
		c.at(-400*time.Millisecond, func() { c.order(entry, "sub-calls", "/book/", 3200) })
		c.at(1100*time.Millisecond, func() { c.order(n, "early", "/confirm/", 300) })
		c.at(1900*time.Millisecond, func() { c.order(n, "too-long", "/view/", 4500) })
		c.at(1900*time.Millisecond, func() { c.order(entry, "too-long-of-peer", "/book/", 4500) })
		for k := range 15 {
			at := time.Duration(2300+200*k) * time.Millisecond
			c.at(at, func() { c.order(n, fmt.Sprint("late-", k), "/view/", 1500) })
			c.at(at, func() { c.order(entry, fmt.Sprint("late-of-peer-", k), "/book/", 1500) })
		}
		time.Sleep(time.Until(c.stopAt))
		took := n.stop()
		c.running.Wait()
		convey.So(strings.Join(c.lost(), "\n"), convey.ShouldBeBlank)
		violations, tally := s.violations()
		t.Log(took, tally)
		convey.So(strings.Join(violations, "\n"), convey.ShouldBeBlank)
		convey.So(took, convey.ShouldBeLessThan, siteGrace)
		for _, id := range []string{"before", "early", "sub-calls"} {
			if a := c.answers[id]; a.status != http.StatusOK {
				convey.So(s.story("not served", a, s.orders.runs[id]), convey.ShouldBeBlank)
			}
		}
	})
}

// pipelined sends an order behind a request that still runs when the node takes no more.
func (c *lateCaller) pipelined(n *siteNode) {
	conn, err := net.Dial("tcp", n.address(siteCallerPort))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, orderText("before", "/view/", 3500))
	time.Sleep(time.Until(c.stopAt.Add(2500 * time.Millisecond)))
	_, _ = io.WriteString(conn, orderText("behind", "/view/", 3000))
	r := bufio.NewReader(conn)
	c.read(r, n, "before", "/view/")
	c.read(r, n, "behind", "/view/")
}

// lateBody sends the second half of an order's body late.
func (c *lateCaller) lateBody(n *siteNode) {
	conn, err := net.Dial("tcp", n.address(siteCallerPort))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	text := orderText("late-body", "/view/", 3000)
	_, _ = io.WriteString(conn, text[:len(text)-2])
	time.Sleep(time.Until(c.stopAt.Add(4 * time.Second)))
	_, _ = io.WriteString(conn, text[len(text)-2:])
	c.read(bufio.NewReader(conn), n, "late-body", "/view/")
}

// TestStopWithShortGrace guards against requests that are taken until the end of a short grace period and cut off there (LOST).
func TestStopWithShortGrace(t *testing.T) {
	convey.Convey("A planned stop within a grace period of 1 s answers each order that ran, and ends in time", t, func() {
		s := newSite(t, 1, 1, time.Second)
		s.awaitReady()
		n := s.nodes[1]
		c := &lateCaller{site: s, stopAt: time.Now().Add(500 * time.Millisecond), answers: map[string]siteAnswer{}}
		for k := range 60 {
			c.at(time.Duration(20*k-400)*time.Millisecond, func() { c.order(n, fmt.Sprint("short-", k), "/confirm/", 150) })
		}
		time.Sleep(time.Until(c.stopAt))
		took := n.stop()
		c.running.Wait()
		_, tally := s.violations()
		t.Log(took, tally)
		convey.So(strings.Join(c.lost(), "\n"), convey.ShouldBeBlank)
		convey.So(took, convey.ShouldBeLessThan, s.grace)
		convey.So(tally["status 200"], convey.ShouldBeGreaterThan, 0)
	})
}
