package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/pomeloworks/pomelo/platform/fake"
)

// storeCaller is the name under which the store stand-in knows all nodes.
const storeCaller = "nodes"

// portsTried is the number of ports that freePort tries.
const portsTried = 100

// lab holds what one case runs: the store, the nodes, and the record of what happened.
type lab struct {
	names   names
	trouble bool
	dir     string
	start   time.Time
	store   *fake.Server
	address string
	nodes   []*node

	mu     sync.Mutex
	record *os.File
}

func newLab(recordPath string, trouble bool) (*lab, error) {
	n, err := readNames()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	l := &lab{names: n, trouble: trouble, dir: dir, start: time.Now(), record: f}
	return l, l.startStore()
}

func (l *lab) startStore() error {
	l.store = fake.New()
	if err := l.setCap(wideCap); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.address = listener.Addr().String()
	go l.store.Run(background())
	go func() { _ = http.Serve(listener, l.store.Handler(storeCaller)) }()
	return nil
}

// printf writes one line to the record, with the seconds since the start of the case.
func (l *lab) printf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes of the case and removes its folder.
func (l *lab) close() {
	for _, n := range l.nodes {
		n.kill()
	}
	_ = l.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}

func (l *lab) path(name string) string {
	return filepath.Join(l.dir, name)
}

// freePort returns the first TCP and UDP port from the given one on that is free on the address; the ports lie below those that the system gives to clients.
func freePort(ip string, from int) (int, error) {
	for port := from; port < from+portsTried; port++ {
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		t, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		_ = t.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return port, nil
	}
	return 0, errNoPort
}

var errNoPort = errors.New("no free port")

// startPair starts the i-th node and the endpoint beside it.
func (l *lab) startPair(i int, service, zone string, serve func(e *endpoint, c net.Conn)) (*endpoint, error) {
	n, err := l.newNode(i, service, zone)
	if err != nil {
		return nil, err
	}
	e, err := l.newEndpoint(n, defaultSlots, serve)
	if err != nil {
		return nil, err
	}
	if err := n.run(); err != nil {
		return nil, err
	}
	e.beat()
	return e, nil
}

// defaultSlots is the number of requests that an endpoint runs at a time.
const defaultSlots = 55
