package mesh_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/membuf"
	"github.com/pomeloworks/pomelo/mesh"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/platform"
	"github.com/pomeloworks/pomelo/platform/fake"
	"github.com/smartystreets/goconvey/convey"
)

const (
	key        = "6wsjnbanfqasnmgkcuyj"
	waitLimit  = 10 * time.Second
	policyText = `{"version":"r%d","routes":{
"a":{"host":"shop.example","path_prefix":"/a/","route_type":"idempotent","timeout_ms":3000,"target_latency_ms":500,"priority":1,"service":"shop","attempts":2,"public":false},
"b":{"host":"shop.example","path_prefix":"/b/","route_type":"non_idempotent","timeout_ms":3000,"target_latency_ms":500,"priority":0,"service":"shop","attempts":2,"public":true}},
"services":{"shop":{"health_path":"/health","max_connections":400,"protocol":"h1","tls":false}},
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":{"acme":{"api_keys":["%s"],"priority":1,"rate_per_s":100000,"burst":100000}}}`
)

// fleet is a stand-in for the store and a number of nodes with their upstreams on loopback.
type fleet struct {
	t     testing.TB
	store *fake.Server
	nodes []*member
	// options apply to the nodes that are added.
	options []func(*mesh.Node)
	// features are those of the nodes that are added.
	features pomelo.Features
	// adjust changes the settings of each node before its start, if it is set.
	adjust func(i int, s *pomelo.HostSettings)
	// wrapStore wraps the store's handler of each node, if it is set.
	wrapStore func(http.Handler) http.Handler
}

type member struct {
	node     *mesh.Node
	settings pomelo.HostSettings
	upstream *upstream
	log      *membuf.Buffer
	metrics  *metric.Sink
}

// withFeatures enables features of all nodes.
func withFeatures(x pomelo.Features) func(*fleet) {
	return func(f *fleet) { f.features = x }
}

func newFleet(t testing.TB, n int, opts ...func(*fleet)) *fleet {
	f := &fleet{t: t, store: fake.New()}
	for _, o := range opts {
		o(f)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.store.Run(ctx)
	f.store.Put(platform.KeyPolicy, fmt.Appendf(nil, policyText, 1, key))
	for i := range n {
		f.addNode(i)
	}
	return f
}

// Ports below the system's ephemeral range, so that no connection takes one between its choice and its use.
const (
	firstPort = 20_000
	lastPort  = 30_000
)

var nextPort atomic.Int64

// freeAddress returns an address whose port is free for TCP and UDP; no two calls return the same one.
func freeAddress(t testing.TB) string {
	for range lastPort - firstPort {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(lastPort-firstPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		p, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = p.Close()
		return address
	}
	t.Fatal("no free port")
	return ""
}

func (f *fleet) addNode(i int, opts ...func(*pomelo.HostSettings)) {
	u := &upstream{id: "i-" + strconv.Itoa(i)}
	u.startedAt.Store(1)
	u.server = httptest.NewServer(u)
	f.t.Cleanup(func() { u.current().Close() })
	h := f.store.Handler(strconv.Itoa(i))
	if f.wrapStore != nil {
		h = f.wrapStore(h)
	}
	s := httptest.NewServer(h)
	f.t.Cleanup(s.Close)
	settings := pomelo.HostSettings{
		VM:               "vm-" + strconv.Itoa(i),
		IP:               "127.0.0.1",
		AvailabilityZone: "z",
		Service:          "shop",
		UpstreamAddress:  u.server.Listener.Addr().String(),
		CallerAddress:    freeAddress(f.t),
		ReadyAddress:     freeAddress(f.t),
		ControlAddress:   freeAddress(f.t),
		PeerAddress:      freeAddress(f.t),
		StoreURL:         s.URL,
		KeyMaxAge:        5_000,
		DrainGrace:       6_000,
		RetryRatio:       0.2,
		RetryWindow:      10_000,
		Features:         f.features,
	}
	for _, o := range opts {
		o(&settings)
	}
	if f.adjust != nil {
		f.adjust(i, &settings)
	}
	metrics := metric.New()
	host := mesh.Host{
		Store:            platform.NewStore(settings.StoreURL, metrics),
		Dialect:          platform.NewDialect(),
		PolicyKey:        platform.KeyPolicy,
		EvacuationPrefix: platform.PrefixEvacuation,
		ParsePolicy:      platform.ParsePolicy,
		Control: func(a mesh.Announcer, service string, log pomelo.Logger) http.Handler {
			return platform.Control(a, service, log)
		},
		Ready: platform.Ready,
	}
	m := &member{settings: settings, upstream: u, log: &membuf.Buffer{}, metrics: metrics}
	n, err := mesh.New(settings, host, append([]func(*mesh.Node){mesh.WithOutput(m.log), mesh.WithMetrics(metrics)}, f.options...)...)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := n.Start(); err != nil {
		f.t.Fatal(err)
	}
	m.node = n
	f.nodes = append(f.nodes, m)
	f.t.Cleanup(n.Kill)
}

func (m *member) heartbeat(state string, seq int) int {
	body := fmt.Sprintf(`{"address":%q,"info":{"service":"shop","version":"v1","zone":"z","slots":50},"status":{"state":%q,"seq":%d,"warmup_left_ms":%d},"born":%d}`, m.settings.UpstreamAddress, state, seq, m.upstream.coldness.left(), m.upstream.startedAt.Load())
	return m.postHeartbeat(body)
}

func (m *member) postHeartbeat(body string) int {
	resp, err := http.Post("http://"+m.settings.ControlAddress+"/instances/"+m.upstream.id+"/heartbeat", "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (m *member) send(method, path, id string, body string) (int, string) {
	return m.sendWith(method, path, id, body, "Bearer "+key)
}

// sendWith sends a request with this Authorization header, or without one if it is empty.
func (m *member) sendWith(method, path, id, body, authorization string) (int, string) {
	r, _ := http.NewRequest(method, "http://"+m.settings.CallerAddress+path, strings.NewReader(body))
	r.Host = "shop.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "2000")
	if authorization != "" {
		r.Header.Set("Authorization", authorization)
	}
	r.Header.Set("Tenant", "forged")
	r.Header.Set("Caller-Service", "forged")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// eventually polls the condition for up to waitLimit and reports whether it became true.
func eventually(done func() bool) bool {
	end := time.Now().Add(waitLimit)
	for time.Now().Before(end) {
		if done() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

func (f *fleet) waitReady() {
	seq := 0
	ok := eventually(func() bool {
		seq++
		for i, m := range f.nodes {
			if m.heartbeat("ready", seq) != http.StatusOK {
				return false
			}
			if s, _ := m.send("GET", "/a/x", fmt.Sprintf("ready-%d-%d", i, seq), ""); s != http.StatusOK {
				return false
			}
		}
		return true
	})
	convey.So(ok, convey.ShouldBeTrue)
	convey.So(eventually(f.knowsAllUpstreams), convey.ShouldBeTrue)
}

// knowsAllUpstreams reports whether every node knows the upstreams of all nodes.
func (f *fleet) knowsAllUpstreams() bool {
	for _, m := range f.nodes {
		if len(m.node.Members().Serving("shop")) < len(f.nodes) {
			return false
		}
	}
	return true
}

func TestPath(t *testing.T) {
	convey.Convey("A fleet of three nodes", t, func() {
		f := newFleet(t, 3)
		f.waitReady()
		a := f.nodes[0]

		convey.Convey("forwards a request with the account of its key, without the key, and with the true origin", func() {
			status, body := a.send("GET", "/a/x", "r1", "")
			convey.So(status, convey.ShouldEqual, http.StatusOK)
			convey.So(body, convey.ShouldEqual, "GET /a/x account=acme origin=shop key= body=0")
		})
		convey.Convey("answers a request that no route matches with 404, and an unknown key with 401", func() {
			status, _ := a.send("GET", "/c/x", "r2", "")
			convey.So(status, convey.ShouldEqual, http.StatusNotFound)
			f.store.Put(platform.KeyPolicy, fmt.Appendf(nil, policyText, 2, "other"))
			convey.So(eventually(func() bool { s, _ := a.send("GET", "/a/x", "r3", ""); return s == http.StatusUnauthorized }), convey.ShouldBeTrue)
		})
		convey.Convey("never reverts to an older policy", func() {
			f.store.Put(platform.KeyPolicy, fmt.Appendf(nil, policyText, 9, "other"))
			convey.So(eventually(func() bool { s, _ := a.send("GET", "/a/x", "r4", ""); return s == http.StatusUnauthorized }), convey.ShouldBeTrue)
			f.store.Put(platform.KeyPolicy, fmt.Appendf(nil, policyText, 8, key))
			f.store.Put(platform.KeyPolicy, []byte("{"))
			time.Sleep(300 * time.Millisecond)
			s, _ := a.send("GET", "/a/x", "r5", "")
			convey.So(s, convey.ShouldEqual, http.StatusUnauthorized)
		})
		convey.Convey("stops sending to an upstream that reports that it is draining", func() {
			convey.So(a.heartbeat("draining", 1_000_000), convey.ShouldEqual, http.StatusOK)
			before := a.upstream.executions.Load()
			for i := range 20 {
				s, _ := f.nodes[i%3].send("POST", "/b/x", fmt.Sprintf("d%d", i), "order")
				convey.So(s, convey.ShouldEqual, http.StatusOK)
			}
			convey.So(a.upstream.executions.Load(), convey.ShouldEqual, before)
			convey.So(a.heartbeat("ready", 5), convey.ShouldEqual, http.StatusOK)
			time.Sleep(100 * time.Millisecond)
			_, _ = a.send("GET", "/a/x", "d-late", "")
			convey.So(a.upstream.executions.Load(), convey.ShouldEqual, before)
		})
		convey.Convey("answers pipelined requests in order", func() {
			c, err := net.Dial("tcp", a.settings.CallerAddress)
			convey.So(err, convey.ShouldBeNil)
			defer func() { _ = c.Close() }()
			var b strings.Builder
			for i := range 5 {
				fmt.Fprintf(&b, "GET /a/%d HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: p%d\r\nDeadline-Ms: 2000\r\nAuthorization: Bearer %s\r\n\r\n", i, i, key)
			}
			_, err = io.WriteString(c, b.String())
			convey.So(err, convey.ShouldBeNil)
			r := bufio.NewReader(c)
			for i := range 5 {
				resp, err := http.ReadResponse(r, nil)
				convey.So(err, convey.ShouldBeNil)
				convey.So(resp.Header.Get("Request-Id"), convey.ShouldEqual, fmt.Sprintf("p%d", i))
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		})
	})
}

func TestLog(t *testing.T) {
	convey.Convey("The log names a failed request by its id and contains no key", t, func() {
		f := newFleet(t, 1)
		f.waitReady()
		a := f.nodes[0]
		_, _ = a.send("GET", "/c/x", "no-route-1", "")
		f.store.Put(platform.KeyPolicy, fmt.Appendf(nil, policyText, 2, "other"))
		convey.So(eventually(func() bool { s, _ := a.send("GET", "/a/x", "unauthorized-1", ""); return s == http.StatusUnauthorized }), convey.ShouldBeTrue)
		convey.So(eventually(func() bool {
			return strings.Contains(a.log.String(), "request=no-route-1") && strings.Contains(a.log.String(), "request=unauthorized-1")
		}), convey.ShouldBeTrue)
		for _, event := range []string{"node_started", "policy_adopted", "announced", "upstream_changed", "request_refused"} {
			convey.So(a.log.String(), convey.ShouldContainSubstring, "event="+event+" ")
		}
		convey.So(a.log.String(), convey.ShouldNotContainSubstring, key)
	})
}

// BenchmarkPath measures a call that passes through two nodes.
func BenchmarkPath(b *testing.B) {
	convey.Convey("A fleet that is ready", b, func() {
		f := newFleet(b, 2)
		f.waitReady()
		convey.So(f.nodes[1].heartbeat("draining", 1_000_000), convey.ShouldEqual, http.StatusOK)
		time.Sleep(300 * time.Millisecond)
		b.ResetTimer()
		for i := range b.N {
			if s, t := f.nodes[1].send("GET", "/a/x", strconv.Itoa(i), ""); s != http.StatusOK {
				b.Fatal(s, t)
			}
		}
	})
}
