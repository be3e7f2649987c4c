package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// pipelined is the number of requests that a client sends before the first answer.
	pipelined     = 40
	leaveClients  = 3
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
	for i := range leaveClients {
		c, err := l.pipeline(l.machines[i%len(l.machines)], i)
		if err != nil {
			return false, err
		}
		conns = append(conns, c)
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
			readAnswers(l, c)
		}
	}
	time.Sleep(leaveWork + time.Second)
	return checkLeave(l, left, trouble), nil
}

// pipeline sends requests on one connection without waiting for answers.
func (l *lab) pipeline(m *machine, client int) (net.Conn, error) {
	c, err := net.Dial("tcp", m.outbound)
	if err != nil {
		return nil, err
	}
	w := bufio.NewWriter(c)
	for i := range pipelined {
		id := fmt.Sprintf("%08x%08x", client+1, i+1)
		_, _ = fmt.Fprintf(w, "GET %schart HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 5000\r\n\r\n", prefix, host, names["request"], id, names["deadline"])
		l.note("request %s sent to %s", id, m.name)
	}
	return c, w.Flush()
}

func readAnswers(l *lab, c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(2 * leaveWork))
	for range pipelined {
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
