package main

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Heads of a crowd: 600 heads of 16,000 bytes, in 4,000 fields each, stop short of the limit of 16,384 bytes.
const (
	fieldHeads  = 600
	headFields  = 4_000
	endless     = 100
	headPause   = 100 * time.Millisecond
	emptyLines  = 4 << 10
	headPieceKB = 4
)

// shortFields returns n lines of 4 bytes whose names differ.
func shortFields(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_!#"
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%c%c:\n", letters[i%len(letters)], letters[i/len(letters)%len(letters)])
	}
	return b.String()
}

func TestCrowdShortFields(t *testing.T) {
	convey.Convey("Clients whose heads hold thousands of fields leave the node within its memory", t, func() {
		c := newCrowd(t, crowdLimits())
		head := "GET /playlist/a HTTP/1.1\r\nHost: " + siteHost + "\r\n" + shortFields(headFields)
		c.join(fieldHeads, c.node.address(siteCallerPort), func(conn net.Conn) {
			_, _ = io.WriteString(conn, head)
			c.stayOpen(conn)
		})
		c.check()
	})
}

// longFields returns n lines whose names differ by a number in base 36.
func longFields(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\n")
	}
	return b.String()
}

// joinWriters adds clients that write the text again and again after the first one.
func (c *crowd) joinWriters(first, text string, pause time.Duration) {
	c.joinWritersAt(c.node.address(siteCallerPort), first, text, pause)
}

func (c *crowd) joinWritersAt(address, first, text string, pause time.Duration) {
	c.join(endless, address, func(conn net.Conn) {
		if _, err := io.WriteString(conn, first); err != nil {
			return
		}
		for !c.hasEnded() {
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
			if pause > 0 && !c.pause(pause) {
				return
			}
		}
	})
}

func TestCrowdEndlessHeads(t *testing.T) {
	line := "x-" + strings.Repeat("y", 100) + ": z\r\n"
	start := "GET /playlist/a HTTP/1.1\r\nHost: " + siteHost + "\r\n"
	for name, crowd := range map[string]func(c *crowd){
		"that come as fast as they are read": func(c *crowd) { c.joinWriters(start, strings.Repeat(line, 40), 0) },
		"in one line":                        func(c *crowd) { c.joinWriters(start+"x: ", strings.Repeat("y", headPieceKB<<10), 0) },
		"byte by byte":                       func(c *crowd) { c.joinWriters(start+"x: ", "y", headPause) },
	} {
		crowdForm(t, "Clients with heads without an end leave the node to others: heads "+name, func(t *testing.T) {
			c := newCrowd(t, crowdLimits())
			crowd(c)
			c.check()
		})
	}
}

func TestCrowdEmptyLines(t *testing.T) {
	fast := strings.Repeat("\r\n", emptyLines)
	for name, crowd := range map[string]func(c *crowd){
		"fast":                 func(c *crowd) { c.joinWriters("", fast, 0) },
		"slowly":               func(c *crowd) { c.joinWriters("", "\r\n", headPause) },
		"as bare line feeds":   func(c *crowd) { c.joinWriters("", strings.ReplaceAll(fast, "\r", ""), 0) },
		"behind a request":     func(c *crowd) { c.joinWriters(c.requestHead("GET", "/playlist/a?work=1")+"\r\n", fast, 0) },
		"slow behind requests": func(c *crowd) { c.joinWriters(c.requestHead("GET", "/playlist/a?work=1")+"\r\n", "\r\n", headPause) },
	} {
		crowdForm(t, "Clients that send empty lines without an end leave the node to others: "+name, func(t *testing.T) {
			c := newCrowd(t, crowdLimits())
			crowd(c)
			c.check()
		})
	}
}
