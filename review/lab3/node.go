package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pomeloworks/pomelo/platform"
)

// deadlineMS is the time that callers wait, in milliseconds.
const deadlineMS = "3000"

// node is one machine: the node's process and the upstream beside it. The exported fields are those of the settings.
type node struct {
	lab      *lab
	upstream *upstream

	VM      string
	IP      string
	Zone    string
	Service string
	Store   string
	First   bool

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// run starts the node's process with the command of the deploy file.
func (n *node) run() error {
	path := filepath.Join(n.lab.dir, n.VM+".conf")
	if err := os.WriteFile(path, fill("settings.txt", n), 0o600); err != nil {
		return err
	}
	n.First = false
	log, err := os.OpenFile(filepath.Join(n.lab.dir, n.VM+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(n.lab.program, "sidecar", "-metrics_port", "9464", "-features", "relayed_watch")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.lab.dir, platform.SettingsVariable + "=" + path}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.command, n.exited = c, make(chan struct{})
	exited := n.exited
	n.mu.Unlock()
	n.lab.note("%s: process %d starts", n.VM, c.Process.Pid)
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// kill ends the node's process at once.
func (n *node) kill() {
	n.mu.Lock()
	c, exited := n.command, n.exited
	n.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGKILL)
	<-exited
}

func (n *node) isReady() bool {
	resp, err := http.Get("http://" + n.IP + ":8546" + platform.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// result is what a caller has seen of one request.
type result struct {
	id     string
	sentAt time.Time
	status int
}

var lastID atomic.Int64

// callers keep their connections.
var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 5 * time.Second}

// send sends one request to the node as a caller on its machine does; the key may be empty.
func (n *node) send(method, path, key string) result {
	r := result{id: fmt.Sprintf("%s-%d", n.VM, lastID.Add(1)), sentAt: time.Now()}
	q, err := http.NewRequest(method, "http://"+n.IP+":8548"+path, http.NoBody)
	if err != nil {
		return r
	}
	q.Host = "shop.example"
	q.Header.Set(n.lab.words["request_id"], r.id)
	q.Header.Set(n.lab.words["deadline"], deadlineMS)
	if key != "" {
		q.Header.Set(n.lab.words["key"], "Bearer "+key)
	}
	resp, err := callers.Do(q)
	if err != nil {
		n.lab.note("caller at %s: %s %s %s key %q: %v", n.VM, r.id, method, path, key, err)
		return r
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	r.status = resp.StatusCode
	n.lab.note("caller at %s: %s %s %s key %q is answered %d", n.VM, r.id, method, path, key, r.status)
	return r
}

// sendUntil sends requests at the interval until the time, and returns what became of them.
func (n *node) sendUntil(end time.Time, interval time.Duration, method, path, key string) []result {
	var mu sync.Mutex
	var out []result
	var sending sync.WaitGroup
	for time.Now().Before(end) {
		sending.Go(func() {
			r := n.send(method, path, key)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, r)
		})
		time.Sleep(interval)
	}
	sending.Wait()
	return out
}
