package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

const (
	fleetRate      = 100.0
	fleetBurst     = 100.0
	callersPerNode = 4
)

// admission is a request with a complete answer; it was admitted between sent and answered.
type admission struct {
	sent     time.Time
	answered time.Time
}

// startOverload sends far more requests than the rate through the nodes until stop is called. stop returns the admitted requests and the other outcomes by kind.
func startOverload(addresses []string, secret string) (stop func() ([]admission, map[string]int)) {
	var mu sync.Mutex
	var admitted []admission
	otherOutcomes := map[string]int{}
	var callers sync.WaitGroup
	done := make(chan struct{})
	for _, a := range addresses {
		for range callersPerNode {
			callers.Go(func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(5 * time.Millisecond):
					}
					at := time.Now()
					r, err := request(http.DefaultClient, "POST", a, "/orders", secret)
					mu.Lock()
					if err == nil && r.Status == http.StatusOK {
						admitted = append(admitted, admission{sent: at, answered: time.Now()})
					} else {
						otherOutcomes[kindOf(r, err)]++
					}
					mu.Unlock()
				}
			})
		}
	}
	return func() ([]admission, map[string]int) {
		close(done)
		callers.Wait()
		return admitted, otherOutcomes
	}
}

func kindOf(r reply, err error) string {
	if err != nil {
		return "no_answer"
	}
	var f pomelo.Fault
	if json.Unmarshal([]byte(r.Body), &f) != nil {
		return "unreadable"
	}
	return string(f.Kind)
}

// worstOverRate returns by how many requests the worst window exceeded burst + rate*t. A window lasts from the sending of one request to the answer of another, and counts the requests that were sent and answered within it.
func worstOverRate(admitted []admission) float64 {
	slices.SortFunc(admitted, func(a, b admission) int { return a.answered.Compare(b.answered) })
	worst := -fleetBurst
	for _, s := range admitted {
		n := 0
		for _, e := range admitted {
			if e.sent.Before(s.sent) {
				continue
			}
			n++
			worst = max(worst, float64(n)-fleetBurst-fleetRate*e.answered.Sub(s.sent).Seconds())
		}
	}
	return worst
}

func (f *testFleet) setStoreDown(down bool) {
	body, _ := json.Marshal(pomelo.StoreFault{Down: down})
	resp, err := http.Post("http://"+f.store+"/fault", "application/json", strings.NewReader(string(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

func TestRateOfTheFleet(t *testing.T) {
	convey.Convey("Given five nodes, each in its own process, and a client account far over its rate at four of them", t, func() {
		f := newTestFleet(t)
		var entries []string
		for _, vm := range []string{"a", "b", "c", "d"} {
			entries = append(entries, f.node(vm).caller)
		}
		f.node("e")
		a := f.nodes["a"]
		f.upstream(a, pomelo.FakeUpstream{Service: "shop", VM: "a", ServiceTime: 1, Slots: 50})
		convey.So(eventually(func() bool { return f.ask(a, "set account growers rate 100 burst 100").Fault == nil }), convey.ShouldBeTrue)
		convey.So(f.ask(a, `set route "POST /orders" service shop importance 9 worth 5 timeout_ms 3000`).Fault, convey.ShouldBeNil)
		issued := f.ask(a, "issue key for growers")
		convey.So(issued.Fault, convey.ShouldBeNil)
		for _, e := range entries {
			convey.So(eventually(func() bool {
				r, err := request(http.DefaultClient, "POST", e, "/orders", issued.Secret)
				return err == nil && r.Status == http.StatusOK
			}), convey.ShouldBeTrue)
		}
		steps := []struct {
			name string
			do   func()
		}{
			{"no fault", func() { time.Sleep(2 * time.Second) }},
			{"store down", func() {
				f.setStoreDown(true)
				time.Sleep(3 * time.Second)
				f.setStoreDown(false)
			}},
			{"a shard owner frozen for 0.7 s", func() { freeze(f.nodes["e"], 700*time.Millisecond) }},
			{"a shard owner and entry node frozen for 4 s", func() { freeze(f.nodes["d"], 4*time.Second) }},
			{"a shard owner killed", func() {
				f.nodes["e"].process.signal(syscall.SIGKILL)
				time.Sleep(6 * time.Second)
			}},
		}
		for _, e := range steps {
			stop := startOverload(entries, issued.Secret)
			startedAt := time.Now()
			e.do()
			admitted, otherOutcomes := stop()
			over := worstOverRate(admitted)
			t.Logf("%s: %d complete in %.1f s, worst window %.1f relative to the bound, others %v", e.name, len(admitted), time.Since(startedAt).Seconds(), over, otherOutcomes)
			convey.So(over, convey.ShouldBeLessThanOrEqualTo, 0)
			convey.So(len(admitted), convey.ShouldBeGreaterThan, 0)
		}
	})
}
