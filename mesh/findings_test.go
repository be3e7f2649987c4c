package mesh_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/membuf"
	"github.com/pomeloworks/pomelo/mesh"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/platform"
	"github.com/smartystreets/goconvey/convey"
)

// keptCaller sends requests one after the other on kept connections, as the platform's callers do, until the node takes no more connections; it reports a request that was cut off without an answer.
type keptCaller struct {
	address  string
	number   int
	answered atomic.Int64
	cut      string
	// refusedAt is the time of the refusal as not run that ended the caller, if one did.
	refusedAt time.Time
}

func (k *keptCaller) run() {
	for round := 0; ; round++ {
		c, err := net.Dial("tcp", k.address)
		if err != nil {
			return
		}
		ended := k.serveConnection(c, round)
		_ = c.Close()
		if ended {
			return
		}
	}
}

// serveConnection returns true once the caller must not go on.
func (k *keptCaller) serveConnection(c net.Conn, round int) bool {
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		id := fmt.Sprintf("c%d-%d-%d", k.number, round, n)
		_, err := fmt.Fprintf(c, "POST /b/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nContent-Length: 5\r\n\r\norder", id)
		if err != nil {
			return false
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			// A request that crosses the close of a connection without any answer was not read.
			if n > 0 {
				k.cut = id + ": " + err.Error()
				return true
			}
			return false
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err == nil && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" {
			k.refusedAt = time.Now()
			return true
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			k.cut = fmt.Sprint(id, ": ", resp.StatusCode, err)
			return true
		}
		k.answered.Add(1)
		if resp.Close {
			return false
		}
	}
}

func TestStopUnderLoad(t *testing.T) {
	convey.Convey("A planned stop under load cuts off no request that was accepted", t, func() {
		f := newFleet(t, 2)
		f.waitReady()
		var callers []*keptCaller
		var running sync.WaitGroup
		for i := range 16 {
			k := &keptCaller{address: f.nodes[0].settings.CallerAddress, number: i}
			callers = append(callers, k)
			running.Go(k.run)
		}
		time.Sleep(300 * time.Millisecond)
		stoppedAt := time.Now()
		f.nodes[0].node.Stop()
		running.Wait()
		answered := int64(0)
		for _, k := range callers {
			convey.So(k.cut, convey.ShouldBeBlank)
			if !k.refusedAt.IsZero() {
				// The platform sends no callers to a node that has not been ready for so long.
				convey.So(k.refusedAt, convey.ShouldHappenAfter, stoppedAt.Add(2200*time.Millisecond))
			}
			answered += k.answered.Load()
		}
		convey.So(answered, convey.ShouldBeGreaterThan, 100)
		convey.So(f.nodes[0].upstream.executions.Load()+f.nodes[1].upstream.executions.Load(), convey.ShouldBeGreaterThanOrEqualTo, answered)
	})
}

// restart ends the node's process without a stop, and starts another one on its VM.
func (f *fleet) restart(m *member) {
	m.node.Kill()
	// Kill leaves a connection open whose last reply is just being written, and the death of a process does not.
	http.DefaultClient.CloseIdleConnections()
	convey.So(f.start(m), convey.ShouldBeNil)
}

// start starts another process on the VM of a node that has ended.
func (f *fleet) start(m *member) error {
	host := mesh.Host{
		Store:            platform.NewStore(m.settings.StoreURL, metric.New()),
		Dialect:          platform.NewDialect(),
		PolicyKey:        platform.KeyPolicy,
		EvacuationPrefix: platform.PrefixEvacuation,
		ParsePolicy:      platform.ParsePolicy,
		Control: func(a mesh.Announcer, service string, log pomelo.Logger) http.Handler {
			return platform.Control(a, service, log)
		},
		Ready: platform.Ready,
	}
	m.log = &membuf.Buffer{}
	n, err := mesh.New(m.settings, host, mesh.WithOutput(m.log))
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	m.node = n
	f.t.Cleanup(n.Kill)
	return nil
}

func TestRestart(t *testing.T) {
	convey.Convey("After a restart neither an upstream that has left nor a key that was withdrawn is in use again", t, func() {
		f := newFleet(t, 2)
		f.waitReady()
		a := f.nodes[0]
		resp, err := http.Post("http://"+a.settings.ControlAddress+"/instances/"+a.upstream.id+"/deregister", "application/json", http.NoBody)
		convey.So(err, convey.ShouldBeNil)
		_ = resp.Body.Close()
		f.store.Put(platform.KeyPolicy, fmt.Appendf(nil, policyText, 2, "other"))
		convey.So(eventually(func() bool { s, _ := a.send("GET", "/a/x", "w", ""); return s == http.StatusUnauthorized }), convey.ShouldBeTrue)
		convey.So(eventually(func() bool { return len(f.nodes[1].node.Members().Serving("shop")) == 1 }), convey.ShouldBeTrue)
		executions := a.upstream.executions.Load()
		f.restart(a)
		served := 0
		for i := range 200 {
			keyed, _ := a.send("GET", "/a/x", fmt.Sprint("k", i), "")
			convey.So(keyed, convey.ShouldNotEqual, http.StatusOK)
			open, _ := a.send("POST", "/b/x", fmt.Sprint("o", i), "order")
			if open == http.StatusOK {
				served++
			}
			time.Sleep(5 * time.Millisecond)
		}
		convey.So(served, convey.ShouldBeGreaterThan, 0)
		convey.So(a.upstream.executions.Load(), convey.ShouldEqual, executions)
	})
}
