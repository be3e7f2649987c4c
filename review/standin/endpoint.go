package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const heartbeatPause = 1500 * time.Millisecond

// endpoint is a stand-in of an application endpoint beside a node.
type endpoint struct {
	lab     *lab
	node    *node
	ID      string
	Address string
	Born    int64
	Service string
	Zone    string
	Slots   int
	State   string
	// Sequence counts the heartbeats.
	Sequence int
	// serve answers the requests of one connection until it returns.
	serve func(e *endpoint, c net.Conn)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	beating  bool
	runs     map[string][]time.Time
}

func (l *lab) newEndpoint(n *node, slots int, serve func(e *endpoint, c net.Conn)) (*endpoint, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(n.IP, "0"))
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		lab:      l,
		node:     n,
		ID:       "i-" + n.Name,
		Address:  listener.Addr().String(),
		Born:     time.Now().UnixMilli(),
		Service:  n.Service,
		Zone:     n.Zone,
		Slots:    slots,
		State:    "ready",
		serve:    serve,
		listener: listener,
		conns:    map[net.Conn]bool{},
		runs:     map[string][]time.Time{},
	}
	n.Upstream = e.Address
	go e.accept()
	return e, nil
}

func (e *endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go func() {
			e.serve(e, c)
			_ = c.Close()
			e.mu.Lock()
			delete(e.conns, c)
			e.mu.Unlock()
		}()
	}
}

// beat sends heartbeats until leave or end.
func (e *endpoint) beat() {
	e.mu.Lock()
	e.beating = true
	e.mu.Unlock()
	go func() {
		for e.sendHeartbeat() {
			time.Sleep(heartbeatPause)
		}
	}()
}

func (e *endpoint) sendHeartbeat() bool {
	e.mu.Lock()
	e.Sequence++
	beating := e.beating
	body, err := fill(heartbeatText, e)
	e.mu.Unlock()
	if !beating || err != nil {
		return false
	}
	_, _ = e.post(e.lab.names.HeartbeatPath, body)
	return true
}

// leave deregisters, and reports whether the node acknowledged that; the endpoint goes on serving.
func (e *endpoint) leave() bool {
	e.mu.Lock()
	e.beating = false
	e.mu.Unlock()
	status, err := e.post(e.lab.names.DeregisterPath, fmt.Appendf(nil, `{"born":%d}`, e.Born))
	e.lab.printf("%s: deregisters at its node, answer %d, error %v", e.ID, status, err)
	return status == http.StatusOK
}

func (e *endpoint) post(path string, body []byte) (int, error) {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Post(e.node.url(e.node.Control, fmt.Sprintf(path, e.ID)), "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// end closes the listener and all connections, as the end of the process does.
func (e *endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beating = false
	_ = e.listener.Close()
	for c := range e.conns {
		_ = c.Close()
	}
	e.lab.printf("%s: ended", e.ID)
}

// begin records that the endpoint begins to work on a request.
func (e *endpoint) begin(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id] = append(e.runs[id], time.Now())
	e.lab.printf("%s: runs %s, time %d", e.ID, id, len(e.runs[id]))
}

// readRequest returns the next request with its body read.
func readRequest(r *bufio.Reader) (*http.Request, error) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, q.Body)
	return q, err
}

// answer is the head and body of a complete response to the request with this id.
func (e *endpoint) answer(id string, status int, header string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s%s: %s\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), e.lab.names.RequestID, id, header, e.lab.names.Seal, "seal."+id, len(body))
	b.Write(body)
	return b.Bytes()
}

// isHealthCheck answers a health check, and reports whether the request is one.
func (e *endpoint) isHealthCheck(c net.Conn, q *http.Request) bool {
	if q.URL.Path != "/health" {
		return false
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", e.lab.names.Instance, e.ID)
	return true
}

// isOther answers a request that names another endpoint, and reports whether the request is one.
func (e *endpoint) isOther(c net.Conn, q *http.Request) bool {
	x := q.Header.Get(e.lab.names.Expected)
	if x == "" || x == e.ID {
		return false
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", e.lab.names.Instance, e.ID, e.lab.names.RequestID, q.Header.Get(e.lab.names.RequestID))
	return true
}
