package mesh_test

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

var rejectionSeeds = flag.Int("rejection_seeds", 3, "how many seeds TestRejectionSoak runs")

// Load of one seed, and the shares of the ways in which its upstream responds.
const (
	soakCallers       = 4
	soakOrders        = 100
	soakRejected      = 0.4
	soakUnnamed       = 0.02
	soakRepeatedLate  = 0.3
	soakRepeatedEarly = 0.03
	soakBroken        = 0.03
	// soakBefore is the number of orders a second before the upstream becomes faulty.
	soakBefore = 200
	// soakRetryRatio allows a retry of each rejected order.
	soakRetryRatio = 8
	soakRunsLater  = 200 * time.Millisecond
)

// faultyUpstream rejects, repeats, breaks off and doubles its responses, and records what it runs.
type faultyUpstream struct {
	listener net.Listener
	mu       sync.Mutex
	random   *rand.Rand
	runs     map[string]int
}

func newFaultyUpstream(t *testing.T, seed uint64) *faultyUpstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &faultyUpstream{listener: l, random: rand.New(rand.NewPCG(seed, 0)), runs: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				u.serve(c)
			}()
		}
	}()
	return u
}

func (u *faultyUpstream) happens(share float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Float64() < share
}

// serve responds to the requests of one connection; a response that it repeats late comes before one of the next three.
func (u *faultyUpstream) serve(c net.Conn) {
	r := bufio.NewReader(c)
	late, lateIn := "", 0
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		if lateIn--; late != "" && lateIn <= 0 {
			_, _ = io.WriteString(c, late)
			late = ""
		}
		answer := u.respond(q.Header.Get("Request-Id"))
		if u.happens(soakBroken) {
			_, _ = io.WriteString(c, answer[:len(answer)/2])
			return
		}
		if u.happens(soakRepeatedEarly) {
			answer += answer
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if late == "" && u.happens(soakRepeatedLate) {
			late = answer
			u.mu.Lock()
			lateIn = 1 + u.random.IntN(3)
			u.mu.Unlock()
		}
	}
}

// respond rejects or runs the request.
func (u *faultyUpstream) respond(id string) string {
	head := "Request-Id: " + id + "\r\n"
	if u.happens(soakRejected) {
		if u.happens(soakUnnamed) {
			head = ""
		}
		return "HTTP/1.1 503 Full\r\n" + head + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	time.Sleep(3 * time.Millisecond)
	body := "done " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sServer-Seal: sealed\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// violation describes how the answer of an order contradicts its runs; empty if it does not.
func (u *faultyUpstream) violation(id string, status int, body string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := u.runs[id]
	switch {
	case n > 1:
		return fmt.Sprint("TWICE: ", id, " ran ", n, " times, answer ", status)
	case n > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		return fmt.Sprint("REFUSED: ", id, " ran, answer ", status)
	case status == http.StatusOK && body != "done "+id:
		return fmt.Sprint("MIXED: ", id, " got ", body)
	}
	return ""
}

// playRejections sends orders to the only upstream, from its own node and from another one, and returns the broken rules, the orders by answer, and whether the log says that a response was skipped.
func playRejections(t *testing.T, seed uint64) (violations []string, answered, rejected int, skipped bool) {
	f := newFleet(t, 1, func(f *fleet) {
		f.adjust = func(_ int, s *pomelo.HostSettings) { s.RetryRatio = soakRetryRatio }
	})
	f.waitReady()
	// The second node has no upstream.
	f.addNode(1)
	isServed := func() bool { status, _ := f.nodes[1].send("GET", "/a/x", "first", ""); return status == http.StatusOK }
	convey.So(eventually(isServed), convey.ShouldBeTrue)
	// Fills the window by which the retry budget counts calls.
	f.sendSteadily("before", soakBefore, time.Second/2)
	u := newFaultyUpstream(t, seed)
	body := fmt.Sprintf(`{"address":%q,"info":{"service":"shop","version":"v1","zone":"z","slots":50},"status":{"state":"ready","seq":1},"born":2}`, u.listener.Addr().String())
	convey.So(f.nodes[0].postHeartbeat(body), convey.ShouldEqual, http.StatusOK)
	var mu sync.Mutex
	var checks []func() string
	var callers sync.WaitGroup
	for k := range soakCallers {
		callers.Go(func() {
			for n := range soakOrders {
				id := fmt.Sprintf("%d-%d-%d", seed, k, n)
				status, text := f.nodes[k%2].send("POST", "/b/x", id, "order")
				mu.Lock()
				switch status {
				case http.StatusOK:
					answered++
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					rejected++
				}
				checks = append(checks, func() string { return u.violation(id, status, text) })
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	// A refused order may run later.
	time.Sleep(soakRunsLater)
	for _, check := range checks {
		if v := check(); v != "" {
			violations = append(violations, v)
		}
	}
	skipped = eventually(func() bool { return strings.Contains(f.nodes[0].log.String(), "event=response_skipped ") })
	return violations, answered, rejected, skipped
}

// TestRejectionSoak guards against TWICE, REFUSED and MIXED, as in the operators' record of an own order that was refused and ran, at an upstream that rejects, repeats, doubles and breaks off its responses, for orders of its own node and of another one.
func TestRejectionSoak(t *testing.T) {
	convey.Convey("No order runs twice, none that ran is refused as not run, and none gets another's answer", t, func() {
		for seed := range uint64(*rejectionSeeds) {
			violations, answered, rejected, skipped := playRejections(t, seed)
			t.Logf("seed %d: %d answered, %d refused", seed, answered, rejected)
			convey.So(strings.Join(violations, "\n"), convey.ShouldBeBlank)
			convey.So(skipped, convey.ShouldBeTrue)
			convey.So(answered, convey.ShouldBeGreaterThan, soakCallers)
		}
	})
}
