package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

const (
	// crowdMemoryMB is the lowered memory_mb of the nodes, and crowdFDs their lowered max_fds.
	crowdMemoryMB = 128
	crowdFDs      = 600
	// platformFDs is the max_fds of the platform's own machines.
	platformFDs = 4100
	// crowdTime is the time for which a crowd stays before the checks, and goes on with them.
	crowdTime       = 5 * time.Second
	crowdSample     = 10 * time.Millisecond
	crowdDial       = 5 * time.Second
	crowdReceive    = 4 << 10
	crowdRedial     = 20 * time.Millisecond
	ordinaryTimeout = 5 * time.Second
	// servedTime is far more than an ordinary request needs; crowdRetry is the time between its repetitions.
	servedTime = 60 * time.Second
	crowdRetry = 50 * time.Millisecond
)

// plainProgram builds the program without the race detector, whose memory would count as the node's.
var plainProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "pomelo-crowd-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "pomelo")
	out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the program: %w: %s", err, out)
	}
	return path, nil
})

// crowd is a number of misbehaving clients of one node; the processes of all nodes are watched meanwhile.
type crowd struct {
	t      testing.TB
	limits siteLimits
	// site and node are those of the users' platform, or nil.
	site *site
	node *siteNode
	// ordinary sends one request with a body of this length, on a connection of its own, and reports whether it was answered whole.
	ordinary func(body int) bool
	// meanwhile checks more while the crowd is there, or is nil.
	meanwhile func()
	done      chan struct{}
	// running counts the clients and the watchers.
	running sync.WaitGroup
	ends    sync.Once
	watched []*watchedProcess
	ordered atomic.Int64
}

// watchedProcess is the process of a node, and the most descriptors that it had.
type watchedProcess struct {
	name   string
	pid    int
	exited chan struct{}
	fds    atomic.Int64
}

// newCrowd starts a zone of nodes under the limits, and watches their processes.
func newCrowd(t testing.TB, limits siteLimits) *crowd {
	s := newLimitedSite(t, 1, 1, siteGrace, limits, crowdProgram(t))
	s.awaitReady()
	c := &crowd{t: t, limits: limits, site: s, node: s.nodes[0], done: make(chan struct{})}
	c.ordinary = func(body int) bool { return c.order(c.node, body) }
	t.Cleanup(c.end)
	for _, n := range s.nodes {
		c.watch(n.vm, n.command.Process.Pid, n.exited)
	}
	return c
}

// crowdForm runs one form of a crowd as a test of its own, whose nodes have ended when the next one starts.
func crowdForm(t *testing.T, description string, f func(t *testing.T)) {
	t.Run(description, func(t *testing.T) {
		convey.Convey(description, t, func() { f(t) })
	})
}

// crowdProgram returns the path of the program that the nodes run.
func crowdProgram(t testing.TB) string {
	if *siteProgram != "" {
		return *siteProgram
	}
	program, err := plainProgram()
	if err != nil {
		t.Fatal(err)
	}
	return program
}

// watch adds a process whose life, memory and descriptors are checked.
func (c *crowd) watch(name string, pid int, exited chan struct{}) {
	p := &watchedProcess{name: name, pid: pid, exited: exited}
	c.watched = append(c.watched, p)
	c.running.Go(func() { c.watchDescriptors(p) })
}

// end closes the connections of all clients.
func (c *crowd) end() {
	c.ends.Do(func() { close(c.done) })
	c.running.Wait()
}

func (c *crowd) hasEnded() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// pause waits, and returns false if the crowd has ended.
func (c *crowd) pause(d time.Duration) bool {
	select {
	case <-c.done:
		return false
	case <-time.After(d):
		return true
	}
}

func (c *crowd) watchDescriptors(p *watchedProcess) {
	for c.pause(crowdSample) {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
		if err == nil && int64(len(entries)) > p.fds.Load() {
			p.fds.Store(int64(len(entries)))
		}
	}
}

// join adds clients, each with one connection to the address at a time, which f uses; a client connects anew when f has returned.
func (c *crowd) join(clients int, address string, f func(conn net.Conn)) {
	for range clients {
		c.running.Go(func() {
			for !c.hasEnded() {
				c.connect(address, f)
				c.pause(crowdRedial)
			}
		})
	}
}

// connect uses one connection with a small receive buffer.
func (c *crowd) connect(address string, f func(conn net.Conn)) {
	d := net.Dialer{Timeout: crowdDial, Control: smallReceiveBuffer}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return
	}
	finished := make(chan struct{})
	defer close(finished)
	go func() {
		select {
		case <-c.done:
		case <-finished:
		}
		_ = conn.Close()
	}()
	f(conn)
}

func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, crowdReceive)
	})
	if err != nil {
		return err
	}
	return failed
}

// stayOpen keeps the connection without reading from it, until the crowd ends or the node has reset it.
func (c *crowd) stayOpen(conn net.Conn) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	for c.pause(crowdRedial) {
		if isReset(raw) {
			return
		}
	}
}

// isReset reports whether the peer has closed or reset the connection.
func isReset(raw syscall.RawConn) bool {
	const tcpEstablished = 1
	state := uint8(0)
	err := raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return err != nil || state != tcpEstablished
}

// requestHead is the head of a request up to its length or coding, which the client adds.
func (c *crowd) requestHead(method, target string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: crowd-%d\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer %s\r\n", method, target, siteHost, c.ordered.Add(1), siteKey)
}

// order sends an order to a node of the users' platform.
func (c *crowd) order(n *siteNode, body int) bool {
	conn, err := net.DialTimeout("tcp", n.address(siteCallerPort), crowdDial)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(ordinaryTimeout))
	id := fmt.Sprintf("ordinary-%d", c.ordered.Add(1))
	head := fmt.Sprintf("POST /book/a?work=5 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", siteHost, id, siteKey, body)
	if _, err := conn.Write(append([]byte(head), make([]byte, body)...)); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	b, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && strings.HasPrefix(string(b), fmt.Sprintf("%s /book/a %d ", id, body))
}

// ordinaryBody is the length of the longest body of an ordinary request, in bytes.
const ordinaryBody = 512 << 10

// check has the crowd stay for a while and asserts what must hold for all nodes, with the crowd there and after it.
func (c *crowd) check() {
	c.pause(crowdTime)
	for _, body := range []int{300, ordinaryBody} {
		convey.So(c.isServed(body), convey.ShouldBeTrue)
	}
	if c.meanwhile != nil {
		c.meanwhile()
	}
	c.end()
	convey.So(c.isServed(300), convey.ShouldBeTrue)
	c.checkProcesses()
}

// isServed reports whether an ordinary request is answered within servedTime, if it is repeated.
func (c *crowd) isServed(body int) bool {
	for end := time.Now().Add(servedTime); time.Now().Before(end); time.Sleep(crowdRetry) {
		if c.ordinary(body) {
			return true
		}
	}
	return false
}

// checkProcesses asserts that each node's first process lives and has stayed within memory_mb and max_fds.
func (c *crowd) checkProcesses() {
	var faults []string
	for _, p := range c.watched {
		select {
		case <-p.exited:
			faults = append(faults, p.name+" has ended")
			continue
		default:
		}
		peak := peakMemoryMB(p.pid)
		c.t.Logf("%s: %d of %d MB, %d of %d descriptors at the most", p.name, peak, c.limits.memoryMB, p.fds.Load(), c.limits.maxFDs)
		if peak == 0 || peak > c.limits.memoryMB {
			faults = append(faults, fmt.Sprintf("%s: %d MB resident, %d allowed", p.name, peak, c.limits.memoryMB))
		}
		if fds := p.fds.Load(); fds > int64(c.limits.maxFDs) {
			faults = append(faults, fmt.Sprintf("%s: %d descriptors, %d allowed", p.name, fds, c.limits.maxFDs))
		}
	}
	convey.So(strings.Join(faults, "\n"), convey.ShouldBeBlank)
}

// peakMemoryMB returns the highest resident memory of the process so far in MiB, or 0 if it can't be read.
func peakMemoryMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		if v, ok := bytes.CutPrefix(line, []byte("VmHWM:")); ok {
			kb, _ := strconv.Atoi(strings.Fields(string(v))[0])
			return kb >> 10
		}
	}
	return 0
}
