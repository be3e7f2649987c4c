package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the case of an upstream that leaves right before its node is killed.
const (
	// lateness is the time by which the last heartbeat before the leaving is late.
	lateness = 2500 * time.Millisecond
	// restartPause is the short delay after which a killed process is started again.
	restartPause = 500 * time.Millisecond
	// touchTime exceeds stable_ms of the settings, counted from the start of the killed process.
	touchTime = 4 * time.Second
)

// playLeft has the first upstream deregister without draining first, and its node killed right after the acknowledgement; a heartbeat from before arrives late. The upstream serves for some time longer and sends nothing more.
func playLeft(l *lab, trouble bool) (bool, string, error) {
	l.writeManifest(1, account{Name: "acme", Key: "k-acme"})
	if err := l.addNodes(3); err != nil {
		return false, "", err
	}
	if err := l.awaitReady("k-acme"); err != nil {
		return false, "", err
	}
	time.Sleep(settleTime)
	n := l.nodes[0]
	u := n.upstream
	u.hush()
	late := u.nextHeartbeat()
	l.note("upstream %s: sends heartbeat %s, which will arrive %v late", u.id, strings.TrimSpace(string(late)), lateness)
	sentAt := time.Now()
	status, err := u.deregister(func() {
		if trouble {
			n.signal(syscall.SIGKILL)
		}
	})
	ackAt := time.Now()
	if err != nil || status/100 != 2 {
		return false, "", fmt.Errorf("the deregistration was not acknowledged: status %d, %v", status, err)
	}
	l.note("upstream %s: its deregistration is answered %d", u.id, status)
	if trouble {
		l.note("%s: its process is killed right after that", n.VM)
		n.kill()
		time.Sleep(restartPause)
		if err := n.run(); err != nil {
			return false, "", err
		}
	}
	startedAt := time.Now()
	time.Sleep(time.Until(sentAt.Add(lateness)))
	u.post("heartbeat", late)
	from := startedAt.Add(touchTime)
	end := from.Add(stayTime)
	var sending sync.WaitGroup
	for _, x := range l.nodes {
		sending.Go(func() { x.sendUntil(end, 50*time.Millisecond, "GET", "/read/x", "k-acme") })
		sending.Go(func() { x.sendUntil(end, 100*time.Millisecond, "POST", "/order/x", "") })
	}
	sending.Wait()
	arrived := 0
	var last time.Duration
	for _, a := range u.runs() {
		if a.at.After(ackAt.Add(drainBound)) && a.at.After(from) {
			arrived++
			last = a.at.Sub(ackAt)
		}
	}
	others := 0
	for _, x := range l.nodes[1:] {
		others += len(x.upstream.runs())
	}
	if others == 0 {
		return false, "", fmt.Errorf("no request ran at the other upstreams")
	}
	return arrived > 0, fmt.Sprintf("while all machines were in touch, %d requests arrived at the upstream later than %v after its leaving was acknowledged, the last %v after it", arrived, drainBound, last.Round(time.Millisecond)), nil
}

// signal sends the signal to the node's process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.command.Process.Signal(s)
}

// hush ends the heartbeats of the present start, which goes on serving.
func (u *upstream) hush() {
	u.mu.Lock()
	defer u.mu.Unlock()
	close(u.beating)
	u.beating = make(chan struct{})
	u.node.lab.note("upstream %s: sends no more heartbeats", u.id)
}

// deregister sends the deregistration of the present start, and calls acknowledged as soon as the first line of the answer has arrived.
func (u *upstream) deregister(acknowledged func()) (int, error) {
	c, err := net.Dial("tcp", u.node.IP+":8540")
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	u.mu.Lock()
	body := fmt.Sprintf(`{"born":%d}`, u.born.UnixMilli())
	u.mu.Unlock()
	path := fmt.Sprintf(u.node.lab.words["deregister"], u.id)
	u.node.lab.note("upstream %s: deregister %s", u.id, body)
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s:8540\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, u.node.IP, len(body), body); err != nil {
		return 0, err
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return 0, err
	}
	acknowledged()
	status := 0
	_, err = fmt.Sscanf(line, "HTTP/1.1 %d", &status)
	return status, err
}
