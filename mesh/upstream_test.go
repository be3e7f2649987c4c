package mesh_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"
)

// upstream is a stand-in that echoes the request id and responds with what it received.
type upstream struct {
	id         string
	server     *httptest.Server
	executions atomic.Int64
	arrivals   arrivals
	// onArrival is a func() that is called with each request, if it is set.
	onArrival atomic.Value
	// raw is a func(id string, c *net.TCPConn) that responds to each request in place of the stand-in, before its body is read, if it is set.
	raw atomic.Value
	// limit is the text of the stated limit, or empty.
	limit   atomic.Value
	leaving atomic.Bool
	// leavingTold holds the times of the responses that say so.
	leavingTold arrivals
	// status is that of each response; 0 means 200.
	status atomic.Int64
	// delay is the time of each response, in nanoseconds.
	delay atomic.Int64
	// startedAt is the time of the present start, which grows with each crash.
	startedAt atomic.Int64
	// coldness is the state of a stand-in that may be cold.
	coldness coldness
	mu       sync.Mutex
}

func (u *upstream) stateLimit(v string) {
	u.limit.Store(v)
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		u.serveHealth(w)
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	u.arrivals.add()
	if f, ok := u.onArrival.Load().(func()); ok {
		f()
	}
	if f, _ := u.raw.Load().(func(string, *net.TCPConn)); f != nil {
		u.respondRaw(w, r, f)
		return
	}
	if v, _ := u.limit.Load().(string); v != "" {
		w.Header().Set("Server-Limit", v)
	}
	if u.leaving.Load() {
		defer u.leavingTold.add()
		w.Header().Set("Server-Leaving", "1")
	}
	if r.Header.Get("Expected-Instance") != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.executions.Add(1)
	time.Sleep(time.Duration(u.delay.Load()) * time.Duration(u.coldness.slowness()))
	if r.URL.Path == crashPath {
		u.crash()
		panic(http.ErrAbortHandler)
	}
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Server-Seal", "sealed")
	if s := u.status.Load(); s != 0 {
		w.WriteHeader(int(s))
	}
	fmt.Fprintf(w, "%s %s account=%s origin=%s key=%s body=%d", r.Method, r.URL.Path, r.Header.Get("Tenant"), r.Header.Get("Caller-Service"), r.Header.Get("Authorization"), len(body))
}
