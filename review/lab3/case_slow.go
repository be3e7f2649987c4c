package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Sizes and times of the case of clients that read slowly beside a burst of uploads.
const (
	// slowReaders is the number of clients at each entry that read slowly.
	slowReaders = 8
	// slowBytes is the size of their answers, slowPiece what they read each slowPause: 40 KB a second.
	slowBytes = 300_000
	slowPiece = 4_000
	slowPause = 100 * time.Millisecond
	// slowBuffer is the size of their receive buffers, as over a network.
	slowBuffer = 16 << 10
	// uploaders is the usual number of clients at each entry that upload; burstX times as many in the burst.
	uploaders = 10
	burstX    = 1.7
	// uploadBytes is the size of an upload, uploadWork the time that it takes at the upstream.
	uploadBytes = 7 << 20
	uploadWork  = 500 * time.Millisecond
	burstTime   = 8 * time.Second
	// allowedLost is the number of connections that may end without an answer.
	allowedLost = 3
)

// slowResult is what became of one order of a client that reads slowly.
type slowResult struct {
	id       string
	status   int
	got      int
	complete bool
	cut      error
}

// orderSlowly sends a short order and then a second one on a connection of its own, and reads the answer to the second slowly, without a pause of more than slowPause.
func (n *node) orderSlowly() slowResult {
	r := slowResult{id: fmt.Sprintf("%s-slow-%d", n.VM, lastID.Add(1))}
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBuffer)
		})
	}}
	c, err := d.Dial("tcp", n.IP+":8548")
	if err != nil {
		r.cut = err
		return r
	}
	defer func() { _ = c.Close() }()
	in := &slowReader{source: c}
	reader := bufio.NewReaderSize(in, slowPiece)
	order := func(path, id string) (int, int, error) {
		words := n.lab.words
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 12000\r\nContent-Length: 0\r\n\r\n", path, words["request_id"], id, words["deadline"])
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return 0, 0, err
		}
		b, err := io.ReadAll(resp.Body)
		return resp.StatusCode, len(b), err
	}
	// The connection is one that is kept: it has had a short answer before.
	if _, _, err := order("/order/x", r.id+"-first"); err != nil {
		r.cut = err
		return r
	}
	in.isSlow = true
	r.status, r.got, r.cut = order("/order/slow", r.id)
	r.complete = r.cut == nil
	return r
}

// slowReader reads at most slowPiece bytes each slowPause while it is slow.
type slowReader struct {
	source io.Reader
	isSlow bool
}

// Read implements io.Reader.
func (s *slowReader) Read(b []byte) (int, error) {
	if s.isSlow {
		time.Sleep(slowPause)
		b = b[:min(len(b), slowPiece)]
	}
	return s.source.Read(b)
}

// upload sends one upload after the other until the time; it comes back after a refusal when told to.
func (n *node) upload(end time.Time, statuses *tally) {
	body := bytes.Repeat([]byte("u"), uploadBytes)
	c := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	for time.Now().Before(end) {
		q, err := http.NewRequest(http.MethodPost, "http://"+n.IP+":8548/order/upload", bytes.NewReader(body))
		if err != nil {
			return
		}
		q.Host = "shop.example"
		q.Header.Set(n.lab.words["request_id"], fmt.Sprintf("%s-up-%d", n.VM, lastID.Add(1)))
		q.Header.Set(n.lab.words["deadline"], "9000")
		resp, err := c.Do(q)
		if err != nil {
			statuses.add("none")
			time.Sleep(300 * time.Millisecond)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		statuses.add(fmt.Sprint(resp.StatusCode))
		if resp.StatusCode == http.StatusServiceUnavailable {
			wait, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
			if err != nil {
				wait = time.Second
			}
			time.Sleep(wait)
		}
	}
}

// tally counts by name.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[name]++
}

// playSlow has clients read their answers slowly at two entries, at which others upload; in the burst these are burstX times as many.
func playSlow(l *lab, trouble bool) (bool, string, error) {
	l.writeManifest(1, account{Name: "acme", Key: "k-acme"})
	if err := l.addNodes(3); err != nil {
		return false, "", err
	}
	if err := l.awaitReady("k-acme"); err != nil {
		return false, "", err
	}
	time.Sleep(4 * time.Second)
	statuses := &tally{counts: map[string]int{}}
	begin := time.Now()
	end := begin.Add(2*time.Second + burstTime + 2*time.Second)
	var working sync.WaitGroup
	var mu sync.Mutex
	var slow []slowResult
	for _, n := range l.nodes[:2] {
		for range uploaders {
			working.Go(func() { n.upload(end, statuses) })
		}
		if trouble {
			for range int(uploaders*burstX) - uploaders {
				working.Go(func() {
					time.Sleep(2 * time.Second)
					n.upload(begin.Add(2*time.Second+burstTime), statuses)
				})
			}
		}
		for range slowReaders {
			working.Go(func() {
				for time.Now().Before(end.Add(-2 * time.Second)) {
					r := n.orderSlowly()
					l.note("slow caller at %s: %s status %d, %d bytes, complete %t, %v", n.VM, r.id, r.status, r.got, r.complete, r.cut)
					mu.Lock()
					slow = append(slow, r)
					mu.Unlock()
				}
			})
		}
	}
	working.Wait()
	ran := map[string]bool{}
	for _, n := range l.nodes {
		for _, a := range n.upstream.runs() {
			ran[a.id] = true
		}
	}
	lost, complete, refused := 0, 0, 0
	for _, r := range slow {
		switch {
		case r.complete && r.status == http.StatusOK:
			complete++
		case r.complete:
			refused++
		case ran[r.id]:
			lost++
		}
	}
	l.note("uploads by status: %v", statuses.counts)
	return lost > allowedLost, fmt.Sprintf("of %d orders of clients that read slowly, %d were answered whole, %d with another status, and %d ran and their connections ended without the whole answer; uploads by status %v", len(slow), complete, refused, lost, statuses.counts), nil
}
