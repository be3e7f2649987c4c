package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

// Crowds at the listeners of pomelo node, in bytes: the sums are 200 x 1,000,000 = 191 MiB of answers or bodies, and 100 heads of 60,000 bytes in 12,000 fields each, with 128 MB of memory.
const (
	nodeClients    = 200
	nodeBody       = 1_000_000
	nodeFieldHeads = 100
	nodeFields     = 12_000
)

// nodeCrowd is a crowd at one process of pomelo node and its upstream.
type nodeCrowd struct {
	*crowd
	node   *testNode
	secret string
}

func newNodeCrowd(t testing.TB, limits siteLimits) *nodeCrowd {
	f := newTestFleet(t)
	f.program = crowdProgram(t)
	if *siteProgram == "" {
		f.limits = fmt.Sprintf("[limits]\nmemory_mb = %d\nmax_fds = %d\n", limits.memoryMB, limits.maxFDs)
	}
	n := f.node("a")
	announceUpstream(t, n)
	convey.So(eventually(func() bool { return f.ask(n, "set account growers rate 100000 burst 100000").Fault == nil }), convey.ShouldBeTrue)
	convey.So(f.ask(n, `set route "POST /orders" service shop importance 9 worth 5 timeout_ms 3000`).Fault, convey.ShouldBeNil)
	issued := f.ask(n, "issue key for growers")
	convey.So(issued.Fault, convey.ShouldBeNil)
	c := &nodeCrowd{crowd: &crowd{t: t, limits: limits, done: make(chan struct{})}, node: n, secret: issued.Secret}
	c.ordinary = c.order
	t.Cleanup(c.end)
	convey.So(eventually(func() bool { return c.order(300) }), convey.ShouldBeTrue)
	c.watch("node a", n.process.command.Process.Pid, n.process.exited)
	return c
}

// announceUpstream serves the node's upstream, whose answers are as long as the requests name.
func announceUpstream(t testing.TB, n *testNode) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		length, _ := strconv.Atoi(r.URL.Query().Get("answer"))
		_, _ = w.Write(append([]byte(strconv.Itoa(len(body))+" "), make([]byte, length)...))
	}))
	t.Cleanup(s.Close)
	b, err := json.Marshal(pomelo.Upstream{Service: "shop", Address: strings.TrimPrefix(s.URL, "http://"), Slots: 50, Connections: 100})
	convey.So(err, convey.ShouldBeNil)
	convey.So(eventually(func() bool {
		resp, err := http.Post("http://"+n.upstream+pomelo.PathAnnounce, "application/json", bytes.NewReader(b))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusNoContent
	}), convey.ShouldBeTrue)
}

func (c *nodeCrowd) head(length int, answer int) string {
	return fmt.Sprintf("POST /orders?answer=%d HTTP/1.1\r\nHost: a\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", answer, pomelo.HeaderKey, c.secret, length)
}

func (c *nodeCrowd) order(body int) bool {
	conn, err := net.DialTimeout("tcp", c.node.caller, crowdDial)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(ordinaryTimeout))
	if _, err := conn.Write(append([]byte(c.head(body, 0)), make([]byte, body)...)); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	b, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(b) == strconv.Itoa(body)+" "
}

// eachNodeCrowd runs the crowds, each against a node of its own.
func eachNodeCrowd(t *testing.T, listener string, limits siteLimits, crowds map[string]func(c *nodeCrowd)) {
	for name, join := range crowds {
		crowdForm(t, "Clients of the listener for "+listener+" leave the node to others: they "+name, func(t *testing.T) {
			c := newNodeCrowd(t, limits)
			join(c)
			c.check()
		})
	}
}

func TestCrowdAtNodeEntry(t *testing.T) {
	eachNodeCrowd(t, "callers", lowDescriptors(), map[string]func(c *nodeCrowd){
		"send nothing": func(c *nodeCrowd) { c.join(silentClients, c.node.caller, c.stayOpen) },
		"stay idle after a request": func(c *nodeCrowd) {
			c.join(silentClients, c.node.caller, func(conn net.Conn) { c.write(conn, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n") })
		},
		"stop short of the end of their bodies": func(c *nodeCrowd) {
			c.join(nodeClients, c.node.caller, func(conn net.Conn) {
				c.write(conn, c.head(nodeBody, 0)+strings.Repeat("x", nodeBody-1))
			})
		},
		"stop short of the end of their bodies, without a key": func(c *nodeCrowd) {
			c.join(nodeClients, c.node.caller, func(conn net.Conn) {
				c.write(conn, fmt.Sprintf("POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", nodeBody, strings.Repeat("x", nodeBody/8)))
			})
		},
		"send heads of thousands of fields": func(c *nodeCrowd) {
			head := "GET /orders HTTP/1.1\r\nHost: a\r\n" + longFields(nodeFields)
			c.join(nodeFieldHeads, c.node.caller, func(conn net.Conn) { c.write(conn, head) })
		},
		"send empty lines without an end": func(c *nodeCrowd) { c.joinWritersAt(c.node.caller, "", strings.Repeat("\r\n", emptyLines), 0) },
		"read no answer": func(c *nodeCrowd) {
			for range nodeClients {
				c.join(1, c.node.caller, func(conn net.Conn) { c.write(conn, c.head(0, nodeBody)) })
				c.pause(answerPause / 4)
			}
		},
	})
}

// nodeStopTime is that of a stop whose grace period is 0.8 s and whose longest request takes 3 s, with room to spare; a stop is given up after 120 s.
const nodeStopTime = 15 * time.Second

func TestCrowdInNodeStop(t *testing.T) {
	convey.Convey("A planned stop of pomelo node does not wait for clients whose requests make no progress", t, func() {
		c := newNodeCrowd(t, lowDescriptors())
		c.join(nodeClients/2, c.node.caller, func(conn net.Conn) {
			if _, err := io.WriteString(conn, c.head(nodeBody, 0)); err != nil {
				return
			}
			for c.pause(headPause) {
				if _, err := io.WriteString(conn, "x"); err != nil {
					return
				}
			}
		})
		c.join(nodeClients/2, c.node.caller, c.stayOpen)
		c.pause(crowdTime / 2)
		c.node.process.signal(syscall.SIGTERM)
		select {
		case <-c.node.process.exited:
		case <-time.After(nodeStopTime):
		}
		convey.So(c.node.process.command.ProcessState, convey.ShouldNotBeNil)
		convey.So(c.node.process.command.ProcessState.ExitCode(), convey.ShouldEqual, 0)
	})
}

func TestCrowdAtNodeUpstream(t *testing.T) {
	eachNodeCrowd(t, "the upstream", lowDescriptors(), map[string]func(c *nodeCrowd){
		"send nothing": func(c *nodeCrowd) { c.join(silentClients, c.node.upstream, c.stayOpen) },
		"stop short of the end of their calls": func(c *nodeCrowd) {
			c.join(nodeClients, c.node.upstream, func(conn net.Conn) {
				c.write(conn, fmt.Sprintf("POST %sshop/x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", pomelo.PathCall, nodeBody, strings.Repeat("x", nodeBody-1)))
			})
		},
		"announce without an end": func(c *nodeCrowd) {
			c.joinWritersAt(c.node.upstream, "POST "+pomelo.PathAnnounce+" HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n{\"service\":\"", strings.Repeat("x", 64<<10), bodyPause)
		},
		"send heads of thousands of fields": func(c *nodeCrowd) {
			head := "GET / HTTP/1.1\r\nHost: a\r\n" + longFields(nodeFields)
			c.join(nodeFieldHeads, c.node.upstream, func(conn net.Conn) { c.write(conn, head) })
		},
	})
}

func TestCrowdAtNodeAdministration(t *testing.T) {
	eachNodeCrowd(t, "operators", lowDescriptors(), map[string]func(c *nodeCrowd){
		"send nothing": func(c *nodeCrowd) { c.join(silentClients, c.node.admin, c.stayOpen) },
		"read no answer": func(c *nodeCrowd) {
			c.join(silentClients, c.node.admin, func(conn net.Conn) { c.writeOn(conn, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n") })
		},
		"send heads of thousands of fields": func(c *nodeCrowd) {
			head := "GET / HTTP/1.1\r\nHost: a\r\n" + longFields(nodeFields)
			c.join(nodeFieldHeads, c.node.admin, func(conn net.Conn) { c.write(conn, head) })
		},
		"stop short of the end of their commands": func(c *nodeCrowd) {
			c.join(silentClients, c.node.admin, func(conn net.Conn) {
				c.write(conn, fmt.Sprintf("POST /command HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: 60000\r\n\r\n%s", operatorToken, strings.Repeat("x", 59_999)))
			})
		},
	})
}
