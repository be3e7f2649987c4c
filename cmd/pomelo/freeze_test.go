package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

// orderResult is the result of one request for its caller. An empty ran means a complete answer, and an empty root a failed connection.
type orderResult struct {
	root     string
	ran      string
	kind     pomelo.Kind
	complete bool
	body     string
}

func sendOrder(address, secret string) orderResult { return sendKeyedOrder(address, secret, "") }

func sendKeyedOrder(address, secret, key string) orderResult {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/orders", strings.NewReader("x"))
	if err != nil {
		return orderResult{}
	}
	r.Header.Set(pomelo.HeaderKey, secret)
	if key != "" {
		r.Header.Set(pomelo.HeaderIdempotency, key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return orderResult{}
	}
	defer func() { _ = resp.Body.Close() }()
	var a struct {
		pomelo.FakeAnswer
		Kind pomelo.Kind `json:"kind"`
	}
	err = json.NewDecoder(resp.Body).Decode(&a)
	return orderResult{
		root:     resp.Header.Get(pomelo.HeaderRootID),
		ran:      resp.Header.Get(pomelo.HeaderRan),
		kind:     a.Kind,
		complete: err == nil && resp.StatusCode == http.StatusOK,
		body:     a.RootID,
	}
}

// startOrders starts callers that send orders until stop is called; stop returns their results.
func startOrders(address, secret string) (stop func() []orderResult) {
	var mu sync.Mutex
	var out []orderResult
	var callers sync.WaitGroup
	done := make(chan struct{})
	for range 8 {
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
				o := sendOrder(address, secret)
				mu.Lock()
				out = append(out, o)
				mu.Unlock()
			}
		})
	}
	return func() []orderResult {
		close(done)
		callers.Wait()
		return out
	}
}

// startsByRoot returns how often each root request was started at the upstreams of the VMs.
func (f *testFleet) startsByRoot(vms ...string) map[string]int {
	out := map[string]int{}
	for _, vm := range vms {
		for _, e := range f.events(vm) {
			if e.Kind == pomelo.FakeEventStart {
				out[e.RootID]++
			}
		}
	}
	return out
}

func checkOrders(results []orderResult, starts map[string]int) (violations []string, tally map[string]int) {
	tally = map[string]int{}
	for _, o := range results {
		n := starts[o.root]
		switch {
		case o.complete:
			tally["whole"]++
		case o.root == "":
			tally["broken"]++
		default:
			tally[o.ran+"_"+string(o.kind)]++
		}
		if o.root == "" {
			continue
		}
		if o.complete && (n != 1 || o.body != o.root) || o.ran == string(pomelo.RanNo) && n != 0 {
			violations = append(violations, fmt.Sprintf("%+v with %d runs", o, n))
		}
	}
	for root, n := range starts {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", root, n))
		}
	}
	return violations, tally
}

func TestFrozenAndKilledNodes(t *testing.T) {
	convey.Convey("Given two nodes of a service with non-idempotent requests, each in its own process", t, func() {
		f := newTestFleet(t)
		a, b, b2 := f.node("a"), f.node("b"), f.node("b2")
		f.upstream(a, pomelo.FakeUpstream{Service: "history", VM: "a", ServiceTime: 1})
		f.upstream(b, pomelo.FakeUpstream{Service: "shop", VM: "b", ServiceTime: 30})
		f.upstream(b2, pomelo.FakeUpstream{Service: "shop", VM: "b2", ServiceTime: 30})
		convey.So(eventually(func() bool { return f.ask(a, "set account growers rate 10000 burst 10000").Fault == nil }), convey.ShouldBeTrue)
		convey.So(f.ask(a, `set route "POST /orders" service shop importance 9 worth 5 non_idempotent on timeout_ms 3000`).Fault, convey.ShouldBeNil)
		secret := f.ask(a, "issue key for growers").Secret
		convey.So(eventually(func() bool { return sendOrder(a.caller, secret).complete }), convey.ShouldBeTrue)
		convey.So(eventually(func() bool { return strings.Count(showNodes(f, a), "shop") == 2 }), convey.ShouldBeTrue)
		cases := []struct {
			name    string
			disrupt func()
		}{
			{"frozen for less than the timeouts and resumed", func() { freeze(b, 800*time.Millisecond) }},
			{"frozen for longer than every timeout and resumed", func() { freeze(b, 4*time.Second) }},
			{"both frozen one after the other", func() {
				freeze(b, 1500*time.Millisecond)
				freeze(b2, 1500*time.Millisecond)
			}},
			{"the entry node frozen", func() { freeze(a, 2500*time.Millisecond) }},
			{"one frozen, the other killed", func() {
				b2.process.signal(syscall.SIGKILL)
				freeze(b, time.Second)
			}},
		}
		for _, e := range cases {
			stop := startOrders(a.caller, secret)
			time.Sleep(300 * time.Millisecond)
			e.disrupt()
			time.Sleep(500 * time.Millisecond)
			results := stop()
			// Requests that a frozen node held back may still run; wait for them before the runs are counted.
			time.Sleep(500 * time.Millisecond)
			violations, tally := checkOrders(results, f.startsByRoot("b", "b2"))
			t.Logf("%s: %v", e.name, tally)
			convey.So(violations, convey.ShouldBeEmpty)
			convey.So(tally["whole"], convey.ShouldBeGreaterThan, 0)
		}
	})
}

func freeze(n *testNode, d time.Duration) {
	n.process.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.process.signal(syscall.SIGCONT)
}
