package main

import (
	"bytes"
	"context"
	"embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"text/template"
	"time"

	"github.com/pomeloworks/pomelo/platform"
	"github.com/pomeloworks/pomelo/platform/fake"
)

//go:embed texts
var texts embed.FS

// storeDelay is the time that each call of the store takes.
const storeDelay = 4 * time.Millisecond

// unlessGone passes calls on after storeDelay, except those whose connection has ended by then, which the store does not execute.
func unlessGone(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		select {
		case <-time.After(storeDelay):
			next.ServeHTTP(w, r)
		case <-r.Context().Done():
		}
	})
}

// lab is a small deployment: a store, nodes with an upstream each, and callers.
type lab struct {
	program string
	dir     string
	words   map[string]string
	store   *fake.Server
	nodes   []*node
	cancel  context.CancelFunc

	mu     sync.Mutex
	record *os.File
	start  time.Time
}

func newLab(program, path string) (*lab, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	l := &lab{program: program, dir: dir, words: map[string]string{}, store: fake.New(), record: record, start: time.Now()}
	b, err := texts.ReadFile("texts/words.txt")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Fields(string(b)) {
		name, value, _ := strings.Cut(line, "=")
		l.words[name] = value
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	go l.store.Run(ctx)
	return l, nil
}

// close ends all processes that the lab has started.
func (l *lab) close() {
	for _, n := range l.nodes {
		n.kill()
		n.upstream.stop()
	}
	l.cancel()
	_ = os.RemoveAll(l.dir)
	_ = l.record.Close()
}

// note writes a line to the record.
func (l *lab) note(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%9.3f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, values...))
}

// fill returns the text with the values.
func fill(name string, values any) []byte {
	t := template.Must(template.ParseFS(texts, "texts/"+name))
	var b bytes.Buffer
	if err := t.Execute(&b, values); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// account is a client account with its only key.
type account struct {
	Name string
	Key  string
}

// writeManifest writes a manifest as the operator does, and returns the time of the store's answer.
func (l *lab) writeManifest(version int, accounts ...account) time.Time {
	l.store.Put(platform.KeyPolicy, fill("manifest.txt", struct {
		Version int
		Tenants []account
	}{version, accounts}))
	at := time.Now()
	l.note("operator: manifest r%d with the accounts %v is acknowledged", version, accounts)
	return at
}

// addNodes starts n nodes on loopback addresses of their own.
func (l *lab) addNodes(n int) error {
	pid := os.Getpid()
	for i := range n {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, i+1)
		x := &node{lab: l, VM: fmt.Sprintf("sidecar-%d", i+1), IP: ip, Zone: "zone-" + string(rune('a'+i%3)), Service: "shop", First: true}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		x.Store = listener.Addr().String()
		go func() { _ = http.Serve(listener, unlessGone(l.store.Handler(x.VM))) }()
		l.nodes = append(l.nodes, x)
		if x.upstream, err = newUpstream(x); err != nil {
			return err
		}
		if err := x.run(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all nodes are ready and each serves a request.
func (l *lab) awaitReady(key string) error {
	end := time.Now().Add(20 * time.Second)
	for _, n := range l.nodes {
		for {
			if n.isReady() && n.send("GET", "/read/ready", key).status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve", n.VM)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
