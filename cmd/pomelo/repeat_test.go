package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

const attemptsPerKey = 4

// startRetries starts callers that send each idempotency key attemptsPerKey times through random nodes until stop is called; stop returns the results of each key.
func startRetries(addresses []string, secret string, seed uint64) (stop func() map[string][]orderResult) {
	var mu sync.Mutex
	out := map[string][]orderResult{}
	var callers sync.WaitGroup
	done := make(chan struct{})
	for n := range 6 {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
				key := uuid.Must(uuid.NewV7()).String()
				for range attemptsPerKey {
					o := sendKeyedOrder(addresses[random.IntN(len(addresses))], secret, key)
					mu.Lock()
					out[key] = append(out[key], o)
					mu.Unlock()
					time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				}
			}
		})
	}
	return func() map[string][]orderResult {
		close(done)
		callers.Wait()
		return out
	}
}

func (f *testFleet) startsByKey(vms ...string) map[string]int {
	out := map[string]int{}
	for _, vm := range vms {
		for _, e := range f.events(vm) {
			if e.Kind == pomelo.FakeEventStart && e.IdempotencyKey != "" {
				out[e.IdempotencyKey]++
			}
		}
	}
	return out
}

func checkKeyedOrders(results map[string][]orderResult, starts map[string]int) (violations []string, tally map[string]int) {
	tally = map[string]int{"keys": len(results)}
	for key, attempts := range results {
		n := starts[key]
		body, mayHaveRun := "", false
		for _, o := range attempts {
			mayHaveRun = mayHaveRun || o.ran != string(pomelo.RanNo)
			if !o.complete {
				tally[o.ran+"_"+string(o.kind)]++
				continue
			}
			tally["whole"]++
			if n != 1 || body != "" && body != o.body {
				violations = append(violations, fmt.Sprintf("%s: %+v with %d runs", key, o, n))
			}
			body = o.body
		}
		if n > 1 || n > 0 && !mayHaveRun {
			violations = append(violations, fmt.Sprintf("%s: %d runs, %+v", key, n, attempts))
		}
	}
	return violations, tally
}

func TestRepeatsWithOneKey(t *testing.T) {
	convey.Convey("Given four nodes, each in its own process, and callers that retry with one idempotency key through any of them", t, func() {
		f := newTestFleet(t)
		a, a2, b, b2 := f.node("a"), f.node("a2"), f.node("b"), f.node("b2")
		f.upstream(a, pomelo.FakeUpstream{Service: "history", VM: "a", ServiceTime: 1})
		f.upstream(b, pomelo.FakeUpstream{Service: "shop", VM: "b", ServiceTime: 20})
		f.upstream(b2, pomelo.FakeUpstream{Service: "shop", VM: "b2", ServiceTime: 20})
		convey.So(eventually(func() bool { return f.ask(a, "set account growers rate 10000 burst 10000").Fault == nil }), convey.ShouldBeTrue)
		convey.So(f.ask(a, `set route "POST /orders" service shop importance 9 worth 5 non_idempotent on timeout_ms 3000`).Fault, convey.ShouldBeNil)
		secret := f.ask(a, "issue key for growers").Secret
		convey.So(eventually(func() bool { return strings.Count(showNodes(f, a), "shop") == 2 }), convey.ShouldBeTrue)
		convey.So(eventually(func() bool {
			return sendKeyedOrder(a.caller, secret, uuid.Must(uuid.NewV7()).String()).complete
		}), convey.ShouldBeTrue)
		addresses := []string{a.caller, a2.caller, b.caller, b2.caller}
		cases := []struct {
			name    string
			planned bool
			disrupt func()
		}{
			{"nothing fails", true, func() { time.Sleep(500 * time.Millisecond) }},
			{"one stopped with a drain", true, func() {
				a2.process.signal(syscall.SIGTERM)
				<-a2.process.exited
			}},
			{"one frozen for longer than its ownership TTL and resumed", false, func() { freeze(b, 4*time.Second) }},
			{"one killed", false, func() {
				b2.process.signal(syscall.SIGKILL)
				time.Sleep(2 * time.Second)
			}},
		}
		// Wait until the latest roster change is longer ago than the permitted skew of callers' clocks.
		time.Sleep(6 * time.Second)
		for i, e := range cases {
			stop := startRetries(addresses, secret, uint64(i))
			time.Sleep(200 * time.Millisecond)
			e.disrupt()
			time.Sleep(300 * time.Millisecond)
			results := stop()
			time.Sleep(300 * time.Millisecond)
			violations, tally := checkKeyedOrders(results, f.startsByKey("b", "b2"))
			t.Logf("%s: %v", e.name, tally)
			convey.So(violations, convey.ShouldBeEmpty)
			if e.planned {
				convey.So(tally["unknown_in_doubt"], convey.ShouldEqual, 0)
			}
		}
	})
}
