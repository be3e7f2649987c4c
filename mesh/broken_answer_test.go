package mesh_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/platform"
	"github.com/smartystreets/goconvey/convey"
)

const (
	// brokenRounds is the number of requests for each broken answer, from each of two callers.
	brokenRounds = 8
	// smallVM is the memory of the smallest VM of the deployments, in bytes.
	smallVM = 184 << 20
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 4 << 20
)

// respondRaw passes the connection of a request to f, and closes it afterwards.
func (u *upstream) respondRaw(w http.ResponseWriter, r *http.Request, f func(string, *net.TCPConn)) {
	u.executions.Add(1)
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	f(r.Header.Get("Request-Id"), c.(*net.TCPConn))
}

// sendText returns a response that writes the text, in which ID stands for the request's id, and then calls end.
func sendText(text string, end func(c *net.TCPConn)) func(string, *net.TCPConn) {
	return func(id string, c *net.TCPConn) {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", id))
		end(c)
	}
}

// resetLater resets the connection after the node has read what was sent.
func resetLater(c *net.TCPConn) {
	time.Sleep(10 * time.Millisecond)
	_ = c.SetLinger(0)
	_ = c.Close()
}

// answersOf sends requests from a caller beside the upstream and from one at another node, and counts the statuses and bodies.
func answersOf(f *fleet, name, body string) map[string]int {
	counts := map[string]int{}
	for i, m := range f.nodes {
		for n := range brokenRounds {
			status, text := m.send("POST", "/b/x", fmt.Sprintf("%s-%d-%d", name, i, n), body)
			if status == http.StatusBadGateway && strings.Contains(text, `"kind":"upstream_broken"`) {
				text = "refusal"
			}
			counts[fmt.Sprint(status, " ", text)]++
		}
	}
	return counts
}

// longBodyPolicy is policyText with bodies of up to 16 MiB.
var longBodyPolicy = strings.Replace(policyText, `"max_body_bytes":1048576`, `"max_body_bytes":16777216`, 1)

// longBodies allows uploads that are longer than the buffers of a connection.
func longBodies(f *fleet) {
	f.adjust = func(_ int, s *pomelo.HostSettings) { s.MemoryBytes = smallVM }
}

// newBrokenFleet returns a fleet of two nodes with one upstream, that of the first node.
func newBrokenFleet(t *testing.T) *fleet {
	f := newFleet(t, 2, longBodies)
	f.store.Put(platform.KeyPolicy, fmt.Appendf(nil, longBodyPolicy, 2, key))
	f.waitReady()
	convey.So(f.nodes[1].heartbeat("draining", 1_000_000), convey.ShouldEqual, http.StatusOK)
	only := func() bool { return len(f.nodes[0].node.Members().Serving("shop")) == 1 }
	convey.So(eventually(only), convey.ShouldBeTrue)
	return f
}

// checkBroken requires that no caller gets a broken answer, that the log names the reason, and that the upstream's next answers are delivered.
func checkBroken(f *fleet, name, reason, body string, respond func(string, *net.TCPConn)) {
	u := f.nodes[0].upstream
	u.raw.Store(respond)
	convey.So(answersOf(f, name, body), convey.ShouldResemble, map[string]int{"502 refusal": 2 * brokenRounds})
	convey.So(eventually(func() bool {
		for line := range strings.Lines(f.nodes[0].log.String()) {
			if strings.Contains(line, "event=call_failed ") && strings.Contains(line, "request="+name+"-") && strings.Contains(line, reason) {
				return true
			}
		}
		return false
	}), convey.ShouldBeTrue)
	u.raw.Store((func(string, *net.TCPConn))(nil))
	const whole = "200 POST /b/x account= origin=shop key= body=5"
	convey.So(answersOf(f, "after-"+name, "order"), convey.ShouldResemble, map[string]int{whole: 2 * brokenRounds})
}

// TestCutAnswer guards against MIXED: an early answer that is cut by a reset while the request is sent reaches the caller as a whole one.
func TestCutAnswer(t *testing.T) {
	convey.Convey("No caller gets an answer that a reset has cut while its upload was sent", t, func() {
		f := newBrokenFleet(t)
		upload := strings.Repeat("u", uploadBytes)
		text := "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: sealed\r\n\r\npart"
		checkBroken(f, "cut", "connection reset", upload, sendText(text, resetLater))
	})
}

// TestEarlyAnswer checks that an answer that is whole before the upload was read reaches the caller, although a reset follows it.
func TestEarlyAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: sealed\r\n"
	finThenReset := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		resetLater(c)
	}
	convey.Convey("Callers get early answers that are whole", t, func() {
		f := newBrokenFleet(t)
		upload := strings.Repeat("u", uploadBytes)
		for name, respond := range map[string]func(string, *net.TCPConn){
			"length": sendText(head+"Content-Length: 2\r\n\r\nok", resetLater),
			"chunks": sendText(head+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", resetLater),
			"fin":    sendText(head+"\r\nok", finThenReset),
		} {
			f.nodes[0].upstream.raw.Store(respond)
			convey.So(answersOf(f, "early-"+name, upload), convey.ShouldResemble, map[string]int{"200 ok": 2 * brokenRounds})
		}
	})
}

// TestRetryAfterCutAnswer checks what callers get whose request may run again.
func TestRetryAfterCutAnswer(t *testing.T) {
	convey.Convey("A request that may run again gets the answer of another upstream in place of a cut one, or a 502", t, func() {
		f := newFleet(t, 2, longBodies)
		f.store.Put(platform.KeyPolicy, fmt.Appendf(nil, longBodyPolicy, 2, key))
		f.waitReady()
		text := "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: sealed\r\n\r\npart"
		f.nodes[0].upstream.raw.Store(sendText(text, resetLater))
		upload := strings.Repeat("u", uploadBytes)
		whole := fmt.Sprintf("POST /a/x account=acme origin=shop key= body=%d", len(upload))
		served := 0
		for i := range 2 * brokenRounds {
			status, body := f.nodes[i%2].send("POST", "/a/x", fmt.Sprint("read-", i), upload)
			if status == http.StatusOK {
				convey.So(body, convey.ShouldEqual, whole)
				served++
				continue
			}
			// A node may refuse requests over the account's rate in its first second.
			convey.So(status, convey.ShouldBeIn, http.StatusBadGateway, http.StatusTooManyRequests)
		}
		convey.So(f.nodes[0].upstream.executions.Load(), convey.ShouldBeGreaterThan, 0)
		convey.So(served, convey.ShouldBeGreaterThan, 0)
	})
}

// closeLater keeps the connection open for a while, in which the node may read on behind the response.
func closeLater(*net.TCPConn) { time.Sleep(100 * time.Millisecond) }

// TestBadStatus guards against MIXED: an answer whose status is none of HTTP, or the bytes behind it, reach the caller.
func TestBadStatus(t *testing.T) {
	const proper = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: sealed\r\nContent-Length: 2\r\n\r\nok"
	const notRun = "HTTP/1.1 503 Full\r\nRequest-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	convey.Convey("No caller gets an answer whose status is none of HTTP, nor what follows it", t, func() {
		f := newBrokenFleet(t)
		for i, status := range []string{"000", "099", "600"} {
			for j, next := range []string{proper, notRun, ""} {
				text := "HTTP/1.1 " + status + " Trouble\r\nRequest-Id: ID\r\nServer-Seal: sealed\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" + next
				checkBroken(f, fmt.Sprintf("status-%d-%d", i, j), "status "+status, "order", sendText(text, closeLater))
			}
		}
	})
}

// TestBadField guards against MIXED: an answer whose head is not valid HTTP reaches the caller, with a body that is not the upstream's.
func TestBadField(t *testing.T) {
	const proper = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: sealed\r\nContent-Length: 2\r\n\r\nok"
	convey.Convey("No caller gets an answer with an odd byte in the name of a field, nor what follows it", t, func() {
		f := newBrokenFleet(t)
		for i, field := range []string{"Content-Length : 2", "Content Length: 2", " Content-Length: 2", "X\tY: 1", "\x01X: 1", "X\x00: 1"} {
			text := "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: sealed\r\n" + field + "\r\n\r\nok" + proper
			checkBroken(f, fmt.Sprint("field-", i), "no whole answer", "order", sendText(text, closeLater))
		}
	})
}

const (
	// endlessCallers is the number of callers that get answers without an end, and that of the others beside them.
	endlessCallers = 16
	// endlessRounds is the number of requests of each caller.
	endlessRounds = 2
)

// TestEndlessAnswers shows that an upstream whose answers have no end ends no request of the other callers at its node.
func TestEndlessAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: sealed\r\n"
	for name, text := range map[string][2]string{
		"a header line":           {head + "X: ", "y"},
		"header lines":            {head, "X: y\r\n"},
		"interim answers":         {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		"a body":                  {head + "\r\n", "x"},
		"chunks":                  {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"bytes that are no HTTP":  {"\x00\x01", "\x02"},
		"a body that was refused": {strings.Replace(head, "200 OK", "503 Full", 1) + "Not-Executed: 1\r\n\r\n", "x"},
	} {
		convey.Convey("While an upstream sends "+name+" without an end, the other callers at its node get their answers", t, func() {
			f := newBrokenFleet(t)
			block := []byte(strings.Repeat(text[1], 64<<10/len(text[1])))
			f.nodes[0].upstream.raw.Store(func(id string, c *net.TCPConn) {
				if !strings.HasPrefix(id, "endless") {
					_, _ = io.WriteString(c, strings.ReplaceAll(head, "ID", id)+"Connection: close\r\nContent-Length: 2\r\n\r\nok")
					return
				}
				_, err := io.WriteString(c, strings.ReplaceAll(text[0], "ID", id))
				for err == nil {
					_, err = c.Write(block)
				}
			})
			done := make(chan struct{})
			var callers sync.WaitGroup
			statuses, answers := make(chan int, endlessCallers*endlessRounds), make(chan string, endlessCallers*endlessRounds)
			for i := range endlessCallers {
				m := f.nodes[i%2]
				callers.Go(func() {
					for n := range endlessRounds {
						status, _ := m.send("POST", "/b/x", fmt.Sprintf("endless-%d-%d", i, n), "order")
						statuses <- status
					}
				})
				callers.Go(func() {
					for n := range endlessRounds {
						answers <- m.sendUntilRun(fmt.Sprintf("proper-%d-%d", i, n))
					}
				})
			}
			go func() { callers.Wait(); close(done) }()
			peak := peakHeap(done)
			close(statuses)
			close(answers)
			for status := range statuses {
				convey.So(status, convey.ShouldBeIn, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout)
			}
			for a := range answers {
				convey.So(a, convey.ShouldEqual, "200 ok")
			}
			convey.So(peak, convey.ShouldBeLessThan, smallVM)
			t.Logf("%s: peak heap %d MB", name, peak>>20)
		})
	}
}

// sendUntilRun sends an order, again while the node refuses it as not run, and returns its status and body.
func (m *member) sendUntilRun(id string) string {
	answer := ""
	attempt := 0
	eventually(func() bool {
		attempt++
		status, body := m.send("POST", "/b/x", fmt.Sprint(id, "-", attempt), "order")
		answer = fmt.Sprint(status, " ", body)
		return status != http.StatusServiceUnavailable
	})
	return answer
}

// peakHeap samples the heap until done is closed, and returns the highest value in bytes.
func peakHeap(done <-chan struct{}) uint64 {
	peak := uint64(0)
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
		select {
		case <-done:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
	}
}
