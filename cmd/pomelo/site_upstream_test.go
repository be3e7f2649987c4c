package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// siteUpstream is an upstream stand-in that works as the platform's protocol says, and fails as the site's troubles say.
type siteUpstream struct {
	node    *siteNode
	service siteService
	slots   chan struct{}
	calls   atomic.Int64

	mu       sync.Mutex
	id       string
	born     int64
	listener net.Listener
	listen   string
	conns    map[net.Conn]bool
	state    string
	sequence int
	stop     context.CancelFunc
}

func newSiteUpstream(n *siteNode, x siteService) *siteUpstream {
	u := &siteUpstream{node: n, service: x}
	l, err := net.Listen("tcp", net.JoinHostPort(n.ip, "0"))
	if err != nil {
		n.site.t.Fatal(err)
	}
	u.listen = l.Addr().String()
	_ = l.Close()
	return u
}

func (u *siteUpstream) address() string { return u.listen }

// start begins a new boot with an id of its own.
func (u *siteUpstream) start() {
	l, err := listenAt(u.listen)
	if err != nil {
		u.node.site.t.Error(err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	u.mu.Lock()
	u.born = time.Now().UnixMilli()
	u.id = fmt.Sprintf("i-%s-%d", u.node.vm, u.born)
	u.listener, u.conns, u.state, u.sequence, u.stop = l, map[net.Conn]bool{}, "ready", 0, cancel
	u.slots = make(chan struct{}, u.service.slots)
	boot := &siteBoot{upstream: u, id: u.id, slots: u.slots, ctx: ctx}
	u.mu.Unlock()
	go u.accept(l, boot)
	go u.beat(ctx)
}

// crash ends the process: nothing more is sent, and runs end.
func (u *siteUpstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stop == nil {
		return
	}
	u.stop()
	_ = u.listener.Close()
	for c := range u.conns {
		_ = c.Close()
	}
	u.conns = nil
}

// resetConns resets a share of the connections.
func (u *siteUpstream) resetConns(share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		if u.node.site.troubles.happens(share) {
			resetConn(c)
		}
	}
}

// leave reports that the upstream drains, serves on for a while, deregisters and ends.
func (u *siteUpstream) leave(d time.Duration) {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	u.postHeartbeat()
	time.Sleep(d)
	u.mu.Lock()
	id, born := u.id, u.born
	u.mu.Unlock()
	u.post("deregister", id, fmt.Sprintf(`{"born":%d}`, born))
	u.crash()
}

func (u *siteUpstream) beat(ctx context.Context) {
	for ctx.Err() == nil {
		u.postHeartbeat()
		select {
		case <-ctx.Done():
		case <-time.After(siteHeartbeat):
		}
	}
}

func (u *siteUpstream) postHeartbeat() {
	u.mu.Lock()
	u.sequence++
	id := u.id
	body := fmt.Sprintf(`{"address":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"warmup_left_ms":0},"born":%d}`,
		u.listen, u.service.name, u.node.zone, u.service.slots, u.state, u.sequence, u.born)
	u.mu.Unlock()
	u.post("heartbeat", id, body)
}

func (u *siteUpstream) post(call, id, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.node.address(siteControlPort)+"/instances/"+id+"/"+call, strings.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Content-Type", "application/json")
	if resp, err := http.DefaultClient.Do(r); err == nil {
		_ = resp.Body.Close()
	}
}

func (u *siteUpstream) accept(l net.Listener, b *siteBoot) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		if u.conns == nil || b.ctx.Err() != nil {
			u.mu.Unlock()
			_ = c.Close()
			continue
		}
		u.conns[c] = true
		u.mu.Unlock()
		go func() {
			b.serve(c)
			_ = c.Close()
			u.mu.Lock()
			delete(u.conns, c)
			u.mu.Unlock()
		}()
	}
}

// longBody is the length, in bytes, from which a request may be rejected before its body is in.
const longBody = 4 << 10

// siteBoot is one process of the upstream.
type siteBoot struct {
	upstream *siteUpstream
	id       string
	slots    chan struct{}
	ctx      context.Context
	waiting  atomic.Int64
}

// serve responds to the requests of one connection in turn; a request is dropped when its connection closes.
func (b *siteBoot) serve(c net.Conn) {
	t := &b.upstream.node.site.troubles
	r := bufio.NewReader(c)
	var late []byte
	looked := make(chan struct{})
	close(looked)
	for {
		<-looked
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		isEarly := q.ContentLength > longBody && t.happens(t.early.load())
		if isEarly {
			_, _ = c.Write(b.reject(q, http.StatusServiceUnavailable, "before its body is in"))
		}
		body, err := b.readBody(q)
		if err != nil {
			return
		}
		if isEarly {
			continue
		}
		ctx, cancel := context.WithCancel(b.ctx)
		looked = make(chan struct{})
		go func(done chan struct{}) {
			defer close(done)
			if _, err := r.Peek(1); err != nil {
				cancel()
			}
		}(looked)
		if late != nil && t.happens(0.5) {
			_, _ = c.Write(late)
			late = nil
		}
		answer, ran := b.respond(ctx, q, body)
		cancel()
		if answer == nil {
			return
		}
		if late != nil {
			_, _ = c.Write(late)
			late = nil
		}
		switch {
		case ran && t.happens(t.loseReset.load()):
			resetConn(c)
			return
		case ran && t.happens(t.loseSilent.load()):
			<-b.ctx.Done()
			return
		case t.happens(t.truncate.load()):
			_, _ = c.Write(answer[:t.intN(len(answer))])
			return
		case t.happens(t.spoil.load()):
			_, _ = c.Write(append([]byte("\x00garbage\r\n\r\n"), answer...))
			return
		case t.happens(t.repeat.load()):
			answer = append(bytes.Clone(answer), answer...)
		case t.happens(t.repeatLate.load()):
			late = answer
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// readBody reads the body; a long one may be read slowly.
func (b *siteBoot) readBody(q *http.Request) ([]byte, error) {
	t := &b.upstream.node.site.troubles
	if q.ContentLength > 1000 && t.happens(t.slowBody.load()) {
		time.Sleep(time.Duration(t.intN(100)) * time.Millisecond)
	}
	return io.ReadAll(q.Body)
}

// respond returns the whole response, nil if there is none, and whether the request has run.
func (b *siteBoot) respond(ctx context.Context, q *http.Request, body []byte) ([]byte, bool) {
	u := b.upstream
	s := u.node.site
	id := q.Header.Get("Request-Id")
	reject := func(status int, why string) []byte { return b.reject(q, status, why) }
	if x := q.Header.Get("Expected-Instance"); x != "" && x != b.id {
		return reject(http.StatusMisdirectedRequest, "another instance"), false
	}
	if s.troubles.happens(s.troubles.reject.load()) {
		return reject(http.StatusServiceUnavailable, "at random"), false
	}
	if b.waiting.Load() >= int64(u.service.queue) {
		return reject(http.StatusServiceUnavailable, "queue full"), false
	}
	left, err := strconv.Atoi(q.Header.Get("Deadline-Ms"))
	if err != nil {
		left = 10_000
	}
	timed, cancel := context.WithTimeout(ctx, time.Duration(left)*time.Millisecond)
	defer cancel()
	b.waiting.Add(1)
	select {
	case b.slots <- struct{}{}:
		b.waiting.Add(-1)
	case <-timed.Done():
		b.waiting.Add(-1)
		if ctx.Err() != nil {
			return nil, false
		}
		return reject(http.StatusServiceUnavailable, "time passed in the queue"), false
	}
	defer func() { <-b.slots }()
	s.orders.run(id, b.id, q, len(body))
	status := b.work(timed, q, id, left)
	if ctx.Err() != nil {
		return nil, true
	}
	return b.answer(id, status, "", padded(q, fmt.Appendf(nil, "%s %s %d by %s", id, q.URL.Path, len(body), b.id))), true
}

// padded extends the body of an answer to the length that the request names in bytes.
func padded(q *http.Request, body []byte) []byte {
	n, err := strconv.Atoi(q.URL.Query().Get("answer"))
	if err != nil || n <= len(body) {
		return body
	}
	return append(body, make([]byte, n-len(body))...)
}

// reject returns the response that states that the request has not run.
func (b *siteBoot) reject(q *http.Request, status int, why string) []byte {
	s := b.upstream.node.site
	id := q.Header.Get("Request-Id")
	s.orders.note(id, fmt.Sprintf("%.3f %s rejects it with %d: %s", s.since(), b.id, status, why))
	if s.troubles.happens(s.troubles.unnamed.load()) {
		id = ""
	}
	return b.answer(id, status, "Not-Executed: 1\r\nRetry-After: 0.1\r\n", nil)
}

// work takes the route's time and makes its calls; it returns the status.
func (b *siteBoot) work(ctx context.Context, q *http.Request, id string, left int) int {
	u := b.upstream
	route := routeOf(q.URL.Path)
	end := time.Now().Add(time.Duration(left) * time.Millisecond)
	select {
	case <-ctx.Done():
	case <-time.After(u.workTime(q, route)):
	}
	for _, k := range route.calls {
		for range k.times {
			if !b.call(ctx, k.path, id, time.Until(end)) {
				if time.Now().After(end) {
					return http.StatusGatewayTimeout
				}
				return http.StatusInternalServerError
			}
		}
	}
	if ctx.Err() != nil {
		return http.StatusGatewayTimeout
	}
	return http.StatusOK
}

// workTime is that of the route, at random, unless the request names it in milliseconds.
func (u *siteUpstream) workTime(q *http.Request, r siteRoute) time.Duration {
	if n, err := strconv.Atoi(q.URL.Query().Get("work")); err == nil {
		return time.Duration(n) * time.Millisecond
	}
	return time.Duration(r.work * (0.5 + u.node.site.troubles.float()) * float64(time.Millisecond))
}

// call sends a call of a running request through the upstream's node.
func (b *siteBoot) call(ctx context.Context, path, parent string, left time.Duration) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.upstream.node.address(siteCallerPort)+path+"x", http.NoBody)
	if err != nil {
		return false
	}
	r.Host = siteHost
	r.Header.Set("Request-Id", fmt.Sprintf("%s.%x", parent, b.upstream.calls.Add(1)))
	r.Header.Set("Deadline-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	resp, err := siteCalls.RoundTrip(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// siteCalls carries the calls of all upstreams.
var siteCalls = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 8 * time.Second, DisableCompression: true}

func (b *siteBoot) answer(id string, status int, header string, body []byte) []byte {
	if id != "" {
		header += "Request-Id: " + id + "\r\n"
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nServer-Seal: seal.%s\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), id, header, len(body))
	return append([]byte(head), body...)
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
