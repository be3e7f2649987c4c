package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"
)

const (
	// metricsPort is that of the deploy file; each node has an address of its own.
	metricsPort = "9464"
	// firstPort is the first of the ports that a node listens on.
	firstPort = 7000
	pollPause = 20 * time.Millisecond
	readyWait = 10 * time.Second
)

// node is one process of the system, with the settings that the platform gives it.
type node struct {
	lab        *lab
	Name       string
	IP         string
	Zone       string
	Service    string
	Upstream   string
	Store      string
	FirstStart bool
	Inbound    int
	Outbound   int
	Ready      int
	Control    int
	Peer       int
	command    *exec.Cmd
	done       chan struct{}
}

// newNode describes the i-th node, on a loopback address of its own.
func (l *lab) newNode(i int, service, zone string) (*node, error) {
	pid := os.Getpid()
	n := &node{
		lab:        l,
		Name:       fmt.Sprintf("sidecar-%s-%d", zone, i),
		IP:         fmt.Sprintf("127.%d.%d.%d", 10+pid>>8&127, pid&255, i+1),
		Zone:       zone,
		Service:    service,
		Store:      l.address,
		FirstStart: true,
	}
	next := firstPort
	for _, p := range []*int{&n.Peer, &n.Inbound, &n.Outbound, &n.Ready, &n.Control} {
		port, err := freePort(n.IP, next)
		if err != nil {
			return nil, err
		}
		*p = port
		next = port + 1
	}
	l.nodes = append(l.nodes, n)
	return n, nil
}

// run starts the process as the deploy file says.
func (n *node) run() error {
	settings, err := fill(settingsText, n)
	if err != nil {
		return err
	}
	path := n.lab.path(n.Name + ".conf")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(n.lab.path(n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/pomelo", "sidecar", "-metrics_port", metricsPort, "-features", "relayed_watch")
	c.Env = append(os.Environ(), n.lab.names.SettingsVariable+"="+path)
	c.Stdout = output
	c.Stderr = output
	if err := c.Start(); err != nil {
		return err
	}
	n.command = c
	n.done = make(chan struct{})
	n.lab.printf("%s: started, process %d", n.Name, c.Process.Pid)
	go func(done chan struct{}) {
		err := c.Wait()
		_ = output.Close()
		n.lab.printf("%s: ended: %v", n.Name, err)
		close(done)
	}(n.done)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.lab.printf("%s: %v", n.Name, s)
	_ = n.command.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	if n.command == nil {
		return
	}
	select {
	case <-n.done:
		return
	default:
	}
	n.signal(syscall.SIGKILL)
	<-n.done
}

// restart starts the process again, as the platform does after it has ended.
func (n *node) restart(pause time.Duration) error {
	<-n.done
	time.Sleep(pause)
	n.FirstStart = false
	return n.run()
}

func (n *node) url(port int, path string) string {
	return "http://" + n.IP + ":" + strconv.Itoa(port) + path
}

func (n *node) outbound() string {
	return n.IP + ":" + strconv.Itoa(n.Outbound)
}

func (n *node) isReady() bool {
	ctx, cancel := context.WithTimeout(background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, n.url(n.Ready, n.lab.names.ReadyPath), http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady reports whether the node becomes ready in time.
func (n *node) awaitReady() bool {
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(pollPause) {
		if n.isReady() {
			n.lab.printf("%s: ready", n.Name)
			return true
		}
	}
	n.lab.printf("%s: not ready within %v", n.Name, readyWait)
	return false
}

func background() context.Context {
	return context.Background()
}

// awaitAll waits until all nodes are ready.
func (l *lab) awaitAll() error {
	for _, n := range l.nodes {
		if !n.awaitReady() {
			return errNotReady
		}
	}
	return nil
}

var errNotReady = errors.New("a node did not become ready")
