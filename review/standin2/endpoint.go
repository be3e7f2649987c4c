package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
)

// endpointOptions describe an endpoint's capacity and the time that a request takes.
type endpointOptions struct {
	slots int
	work  time.Duration
	// clockAhead is how far the machine's time of day is ahead when the endpoint starts.
	clockAhead time.Duration
	// bodyBytes is the size of an answer; at 0 it is a short text.
	bodyBytes int
}

// execution is one request that an endpoint began to work on.
type execution struct {
	id      string
	tenant  string
	began   time.Duration
	ended   time.Duration
	dropped bool
}

// endpoint serves requests beside a node as the protocol page says: it drops a request whose connection closes.
type endpoint struct {
	machine *machine
	id      string
	address string
	opts    endpointOptions
	born    int64
	slots   chan struct{}
	server  *http.Server

	mu         sync.Mutex
	executions map[string]*execution
	sequence   int
	draining   bool
	down       bool
}

func newEndpoint(m *machine, opts endpointOptions) (*endpoint, error) {
	e := &endpoint{
		machine:    m,
		id:         "i-" + m.name,
		opts:       opts,
		born:       time.Now().Add(opts.clockAhead).UnixMilli(),
		slots:      make(chan struct{}, opts.slots),
		executions: map[string]*execution{},
	}
	var err error
	e.server, e.address, err = m.lab.serve(net.JoinHostPort(m.ip, "0"), e)
	return e, err
}

// crash closes the endpoint's connections and its address; nothing is sent any more.
func (e *endpoint) crash() {
	e.mu.Lock()
	e.down = true
	e.mu.Unlock()
	_ = e.server.Close()
	e.machine.lab.note("endpoint %s ends", e.id)
}

// restart starts the endpoint again at its address under its id, by the right time of day.
func (e *endpoint) restart() error {
	server, _, err := e.machine.lab.serve(e.address, e)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = server
	e.born = time.Now().UnixMilli()
	e.sequence = 0
	e.down = false
	e.machine.lab.note("endpoint %s starts, born %d", e.id, e.born)
	return nil
}

// drain reports that the endpoint is draining until that is acknowledged, and returns the time of the acknowledgement.
func (e *endpoint) drain(ctx context.Context) time.Duration {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	for ctx.Err() == nil && !e.sendHeartbeat() {
		time.Sleep(pollInterval)
	}
	at := e.machine.lab.now()
	e.machine.lab.noteAt(at, "endpoint %s has an acknowledgement that it is draining", e.id)
	return at
}

// ServeHTTP runs a request, or answers a health check.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(names["instance"], e.id)
		return
	}
	id := r.Header.Get(names["request"])
	w.Header().Set(names["request"], id)
	if want := r.Header.Get(names["expected"]); want != "" && want != e.id {
		w.Header().Set(names["instance"], e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case e.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-e.slots }()
	x := e.begin(id, r.Header.Get("Tenant"))
	select {
	case <-time.After(e.opts.work):
		e.end(x, false)
	case <-r.Context().Done():
		e.end(x, true)
		return
	}
	w.Header().Set(names["seal"], "seal-"+id)
	if e.opts.bodyBytes > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(e.opts.bodyBytes))
		_, _ = w.Write(make([]byte, e.opts.bodyBytes))
		return
	}
	_, _ = io.WriteString(w, "body of "+id)
}

func (e *endpoint) begin(id, tenant string) *execution {
	x := &execution{id: id, tenant: tenant, began: e.machine.lab.now()}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executions[id] = x
	return x
}

func (e *endpoint) end(x *execution, dropped bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.ended = e.machine.lab.now()
	x.dropped = dropped
}

// snapshot returns the executions so far.
func (e *endpoint) snapshot() []execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []execution
	for _, x := range e.executions {
		out = append(out, *x)
	}
	return out
}

// deregister says that the endpoint leaves.
func (e *endpoint) deregister() error {
	status, err := e.post("deregister", map[string]any{"born": e.born})
	e.machine.lab.note("endpoint %s deregisters: %d", e.id, status)
	return err
}

// post sends a call of the endpoint to its node and returns the status of the answer.
func (e *endpoint) post(call string, document map[string]any) (int, error) {
	body, err := json.Marshal(document)
	if err != nil {
		return 0, err
	}
	url := fmt.Sprintf("http://%s/instances/%s/%s", e.machine.control, e.id, call)
	client := http.Client{Timeout: heartbeatTimeout}
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

func (e *endpoint) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		wait := heartbeatInterval
		e.mu.Lock()
		down := e.down
		e.mu.Unlock()
		if down || !e.sendHeartbeat() {
			wait = pollInterval
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// sendHeartbeat reports whether the node has acknowledged the heartbeat.
func (e *endpoint) sendHeartbeat() bool {
	e.mu.Lock()
	e.sequence++
	sequence, born, state := e.sequence, e.born, "ready"
	if e.draining {
		state = "draining"
	}
	e.mu.Unlock()
	status, err := e.post("heartbeat", map[string]any{
		"address": e.address,
		"born":    born,
		"info":    map[string]any{"service": e.machine.service, "version": "v1", "zone": e.machine.zone, "slots": e.opts.slots},
		"status":  map[string]any{"state": state, "seq": sequence, names["warmup"]: 0},
	})
	return err == nil && status == http.StatusOK
}
