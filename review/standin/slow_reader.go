package main

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

const (
	reportBytes   = 16 << 20
	reportTime    = 4400 * time.Millisecond
	readPieces    = 160
	segmentBytes  = 1460
	receiveBytes  = 32 << 10
	reportTimeout = 10 * time.Second
	stopAfter     = 200 * time.Millisecond
)

var errShortAnswer = errors.New("the answer ended early")

// report is the behaviour of an endpoint that answers each request at once with a large body.
func report(e *endpoint, c net.Conn) {
	r := bufio.NewReader(c)
	body := make([]byte, reportBytes)
	for {
		q, err := readRequest(r)
		if err != nil {
			return
		}
		if e.isHealthCheck(c, q) || e.isOther(c, q) {
			continue
		}
		id := q.Header.Get(e.lab.names.RequestID)
		e.begin(id)
		if _, err := c.Write(e.answer(id, http.StatusOK, "", body)); err != nil {
			return
		}
	}
}

// dialSlow connects as a client on a slow link does: with segments of a usual size, and a small window.
func dialSlow(address string) (net.Conn, error) {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes),
			)
		})
		return errors.Join(err, failed)
	}}
	return d.DialContext(context.Background(), "tcp", address)
}

// slowReader stops a node while a client reads a complete answer slowly, within its time budget and the route's timeout.
func slowReader(l *lab) (bool, error) {
	e, err := l.startPair(0, "history", "sofia-a", report)
	if err != nil {
		return false, err
	}
	n := e.node
	if err := l.awaitAll(); err != nil {
		return false, err
	}
	time.Sleep(stableTime + judgingMargin)
	c, err := dialSlow(n.outbound())
	if err != nil {
		return false, err
	}
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /history/a HTTP/1.1\r\nHost: history.example\r\n"+l.names.RequestID+": slow-1\r\n"+l.names.Deadline+": "+strconv.FormatInt(reportTimeout.Milliseconds(), 10)+"\r\nAuthorization: Bearer "+clientKey+"\r\n\r\n")
	if err != nil {
		return false, err
	}
	l.printf("slow-1: sent")
	if l.trouble {
		time.AfterFunc(stopAfter, func() { n.signal(syscall.SIGTERM) })
	}
	read, err := l.readSlowly(c)
	l.printf("slow-1: read %d of %d bytes of the body, error %v", read, reportBytes, err)
	return read < reportBytes, nil
}

// readSlowly reads the answer in reportTime, and returns the bytes of its body.
func (l *lab) readSlowly(c net.Conn) (int, error) {
	r := bufio.NewReaderSize(c, 1)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	l.printf("slow-1: status %d, length %d", resp.StatusCode, resp.ContentLength)
	if resp.StatusCode != http.StatusOK {
		return 0, errors.New("unexpected status")
	}
	read := 0
	piece := make([]byte, reportBytes/readPieces)
	for read < reportBytes {
		n, err := io.ReadFull(resp.Body, piece[:min(len(piece), reportBytes-read)])
		read += n
		if err != nil {
			return read, errors.Join(errShortAnswer, err)
		}
		time.Sleep(reportTime / readPieces)
	}
	return read, nil
}
