package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeatInterval is that of the settings.
const heartbeatInterval = 1500 * time.Millisecond

// workTime is the time that a request takes.
const workTime = 15 * time.Millisecond

// arrival is a request that the upstream has run.
type arrival struct {
	id string
	at time.Time
	// account is the name that the node has set, or empty.
	account string
}

// upstream is the endpoint beside a node. It keeps its id over its starts.
type upstream struct {
	node *node
	id   string

	mu     sync.Mutex
	server *http.Server
	// born is the time of the present start by the clock of its machine.
	born     time.Time
	sequence int
	state    string
	ran      []arrival
	// beating is closed when the present start sends no more heartbeats.
	beating chan struct{}
}

func newUpstream(n *node) (*upstream, error) {
	u := &upstream{node: n, id: "i-" + n.VM}
	return u, u.start(0)
}

func (u *upstream) address() string { return u.node.IP + ":8547" }

// start begins a new start, at a machine whose clock is off by the given time.
func (u *upstream) start(clockOff time.Duration) error {
	l, err := net.Listen("tcp", u.address())
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.server = &http.Server{Handler: u}
	u.born = time.Now().Add(clockOff)
	u.sequence = 0
	u.state = "ready"
	u.beating = make(chan struct{})
	u.node.lab.note("upstream %s: starts, born %d", u.id, u.born.UnixMilli())
	go func(s *http.Server) { _ = s.Serve(l) }(u.server)
	go u.beat(u.beating)
	return nil
}

// stop ends the present start without a word, as a crash does.
func (u *upstream) stop() {
	u.mu.Lock()
	s, beating := u.server, u.beating
	u.server, u.beating = nil, nil
	u.mu.Unlock()
	if s == nil {
		return
	}
	close(beating)
	_ = s.Close()
	u.node.lab.note("upstream %s: ends", u.id)
}

func (u *upstream) beat(end chan struct{}) {
	for {
		u.heartbeat()
		select {
		case <-end:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat sends one heartbeat, and reports whether it was acknowledged.
func (u *upstream) heartbeat() bool { return u.post("heartbeat", u.nextHeartbeat()) }

// nextHeartbeat returns the body of the next heartbeat.
func (u *upstream) nextHeartbeat() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	return fill("heartbeat.txt", struct {
		Address, Zone, State string
		Sequence             int
		Born                 int64
	}{u.address(), u.node.Zone, u.state, u.sequence, u.born.UnixMilli()})
}

func (u *upstream) post(what string, body []byte) bool {
	c := &http.Client{Timeout: time.Second}
	resp, err := c.Post("http://"+u.node.IP+":8540"+fmt.Sprintf(u.node.lab.words[what], u.id), "application/json", bytes.NewReader(body))
	if err != nil {
		u.node.lab.note("upstream %s: %s %s: %v", u.id, what, bytes.TrimSpace(body), err)
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	u.node.lab.note("upstream %s: %s %s is answered %d", u.id, what, bytes.TrimSpace(body), resp.StatusCode)
	return resp.StatusCode/100 == 2
}

// ServeHTTP answers health checks and runs requests; one for another upstream is rejected with status 421.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	words := u.node.lab.words
	u.mu.Lock()
	draining := u.state != "ready"
	u.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set(words["instance"], u.id)
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(words["request_id"])
	w.Header().Set(words["request_id"], id)
	if x := r.Header.Get(words["expected"]); x != "" && x != u.id {
		u.node.lab.note("upstream %s: rejects %s with 421", u.id, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a := arrival{id: id, at: time.Now(), account: r.Header.Get(words["account"])}
	u.mu.Lock()
	u.ran = append(u.ran, a)
	u.mu.Unlock()
	u.node.lab.note("upstream %s: runs %s of account %q", u.id, id, a.account)
	if r.URL.Path == "/order/upload" {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(uploadWork)
	}
	time.Sleep(workTime)
	w.Header().Set(words["seal"], "seal-"+id)
	if draining {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/order/slow" {
		_, _ = w.Write(bytes.Repeat([]byte("s"), slowBytes))
		return
	}
	_, _ = io.WriteString(w, "done "+id+"\n")
}

// runs returns the requests that the upstream has run.
func (u *upstream) runs() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.ran...)
}
