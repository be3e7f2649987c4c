package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// pipelined is the number of requests that a client sends before the first answer.
	pipelined = 40
	// leaveClients leave, and stayClients, with a few requests each, stay: three of ten are a share of 0.3.
	leaveClients  = 3
	stayClients   = 7
	stayPipelined = 4
	leaveWork     = 3 * time.Second
	leaveAfter    = 500 * time.Millisecond
	noticeTime    = 500 * time.Millisecond
	maxStillShare = 0.25
)

// playLeave has clients that pipeline idempotent requests close their connections.
func playLeave(l *lab, trouble bool) (bool, error) {
	if err := l.write(manifest{version: 1, service: "history", timeoutMS: 5000}); err != nil {
		return false, err
	}
	for _, zone := range []string{"sofia-a", "sofia-b", "sofia-c"} {
		if err := l.addMachine("history", zone, endpointOptions{slots: 55, work: leaveWork}); err != nil {
			return false, err
		}
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	var conns []net.Conn
	var reading sync.WaitGroup
	defer reading.Wait()
	for i := range leaveClients + stayClients {
		n := pipelined
		if i >= leaveClients {
			n = stayPipelined
		}
		c, err := l.pipeline(l.machines[i%len(l.machines)], i, n)
		if err != nil {
			return false, err
		}
		if i < leaveClients {
			conns = append(conns, c)
			continue
		}
		reading.Go(func() { readAnswers(l, c, n) })
	}
	time.Sleep(leaveAfter)
	left := l.now()
	if trouble {
		for _, c := range conns {
			_ = c.Close()
		}
		l.note("the clients close their connections")
	} else {
		for _, c := range conns {
			readAnswers(l, c, pipelined)
		}
	}
	time.Sleep(leaveWork + time.Second)
	return checkLeave(l, left, trouble), nil
}

// pipeline sends requests on one connection without waiting for answers.
func (l *lab) pipeline(m *machine, client, count int) (net.Conn, error) {
	c, err := net.Dial("tcp", m.outbound)
	if err != nil {
		return nil, err
	}
	w := bufio.NewWriter(c)
	for i := range count {
		id := fmt.Sprintf("%08x%08x", client+1, i+1)
		_, _ = fmt.Fprintf(w, "GET %schart HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\n\r\n", prefix, host, names["request"], id, names["deadline"])
		l.note("request %s sent to %s", id, m.name)
	}
	return c, w.Flush()
}

func readAnswers(l *lab, c net.Conn, count int) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(2 * leaveWork))
	for range count {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			l.note("no answer: %v", err)
			return
		}
		l.note("answer %s: %d", resp.Header.Get(names["request"]), resp.StatusCode)
		_ = resp.Body.Close()
	}
}

// checkLeave counts the requests at which endpoints were still at work half a second after their client had left.
func checkLeave(l *lab, left time.Duration, trouble bool) bool {
	still, late, all := 0, 0, 0
	for _, m := range l.machines {
		for _, x := range m.endpoint.snapshot() {
			l.noteAt(x.began, "request %s runs at %s until %.3f, dropped: %t", x.id, m.endpoint.id, x.ended.Seconds(), x.dropped)
			if !isOfLeaver(x.id) {
				continue
			}
			all++
			if x.began > left+noticeTime {
				late++
			}
			if x.ended > left+noticeTime {
				still++
			}
		}
	}
	l.note("requests run: %d, at work half a second after the close: %d, begun after that: %d", all, still, late)
	fmt.Printf("run %d, still at work %d, begun later %d\n", all, still, late)
	return !trouble || float64(still) <= maxStillShare*float64(all)
}

// isOfLeaver reports whether the request is of one of the clients that leave.
func isOfLeaver(id string) bool {
	client, err := strconv.ParseInt(id[:8], 16, 64)
	return err == nil && client <= leaveClients
}
