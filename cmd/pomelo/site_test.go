package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo/platform"
	"github.com/pomeloworks/pomelo/platform/fake"
)

// siteProgram makes the site run another build of the program, such as one of an earlier commit.
var siteProgram = flag.String("site_program", "", "the `path` of the program that the site's nodes run, instead of this one")

const (
	siteKey       = "6wsjnbanfqasnmgkcuyj"
	siteHost      = "reels.example"
	siteHeartbeat = 1500 * time.Millisecond
	siteGrace     = 6 * time.Second
	sitePerZone   = 4
)

// siteServices are the services of the site, one upstream of each in every zone, with the slots and queue of each upstream.
var siteServices = []siteService{
	{name: "archive", slots: 12, queue: 9},
	{name: "campaigns", slots: 12, queue: 9},
	{name: "slots", slots: 12, queue: 9},
	{name: "playlists", slots: 6, queue: 9},
}

type siteService struct {
	name  string
	slots int
	queue int
}

// siteRoutes are the routes of callers, and behind them those of the upstreams' own calls.
var siteRoutes = []siteRoute{
	{path: "/view/", service: "archive", kind: "idempotent", deadline: 5000, target: 1200, priority: 2, share: 6.2, work: 20, calls: []siteCall{{path: "/rights/", times: 1}}},
	{path: "/book/", service: "campaigns", kind: "non_idempotent", deadline: 5000, target: 1200, priority: 0, share: 2.3, work: 26, bodyBytes: 300, calls: []siteCall{{path: "/invoice/", times: 2}}},
	{path: "/confirm/", service: "slots", kind: "non_idempotent", deadline: 600, target: 150, priority: 0, share: 1.3, work: 14, bodyBytes: 4000},
	{path: "/playlist/", service: "playlists", kind: "idempotent", deadline: 1200, target: 600, priority: 2, share: 0.95, work: 60},
	{path: "/rights/", service: "campaigns", kind: "idempotent", deadline: 2500, target: 1000, priority: 2, work: 5, calls: []siteCall{{path: "/invoice/", times: 1}}},
	{path: "/invoice/", service: "slots", kind: "idempotent", deadline: 2000, target: 800, priority: 2, work: 5, calls: []siteCall{{path: "/cue/", times: 4}}},
	{path: "/cue/", service: "playlists", kind: "idempotent", deadline: 700, target: 300, priority: 2, work: 5},
}

// siteRoute is one route; times are in milliseconds, and a route with no share gets no requests of callers.
type siteRoute struct {
	path      string
	service   string
	kind      string
	deadline  int
	target    int
	priority  int
	share     float64
	work      float64
	bodyBytes int
	calls     []siteCall
}

// siteCall is a call that each run makes through its node.
type siteCall struct {
	path  string
	times int
}

func routeOf(path string) siteRoute {
	for _, r := range siteRoutes {
		if strings.HasPrefix(path, r.path) {
			return r
		}
	}
	return siteRoute{}
}

// site is a store stand-in, nodes as real processes, and an upstream stand-in beside each.
type site struct {
	t        testing.TB
	dir      string
	store    *fake.Server
	nodes    []*siteNode
	orders   orders
	troubles troubles
	startAt  time.Time
	// grace is the time between a planned stop's signal and the kill.
	grace  time.Duration
	limits siteLimits
	// program is the path of the program that the nodes run.
	program string
}

// siteLimits are the limits of each node's process and of what callers may send.
type siteLimits struct {
	memoryMB int
	// maxFDs is the maximum number of descriptors; 0 leaves the setting out.
	maxFDs  int
	maxBody int
}

var defaultSiteLimits = siteLimits{memoryMB: 284, maxBody: 1 << 20}

// siteNode is one VM: the node's process and its upstream.
type siteNode struct {
	site     *site
	vm       string
	zone     string
	ip       string
	storeURL string
	settings string
	upstream *siteUpstream
	// failing is held while something of the VM fails.
	failing sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	first   bool
}

func newSite(t testing.TB, seed uint64, zones int, grace time.Duration) *site {
	program := *siteProgram
	if program == "" {
		program = os.Args[0]
	}
	return newLimitedSite(t, seed, zones, grace, defaultSiteLimits, program)
}

// newLimitedSite starts a site whose nodes run the program under the limits.
func newLimitedSite(t testing.TB, seed uint64, zones int, grace time.Duration, limits siteLimits, program string) *site {
	s := &site{t: t, dir: t.TempDir(), store: fake.New(), startAt: time.Now(), grace: grace, limits: limits, program: program}
	s.orders.runs = map[string][]siteRun{}
	s.troubles.init(seed)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.store.Run(ctx)
	s.store.Put(platform.KeyPolicy, []byte(sitePolicy(limits.maxBody)))
	t.Cleanup(s.close)
	for z := range zones {
		for k, x := range siteServices {
			s.addNode(sitePerZone*z+k, fmt.Sprintf("zone-%c", 'a'+z), x)
		}
	}
	// The stores' listeners wait for the calls of running nodes.
	t.Cleanup(s.close)
	return s
}

func sitePolicy(maxBody int) string {
	var routes, services []string
	for _, r := range siteRoutes {
		routes = append(routes, fmt.Sprintf(`"r%s":{"host":%q,"path_prefix":%q,"route_type":%q,"timeout_ms":%d,"target_latency_ms":%d,"priority":%d,"service":%q,"attempts":2,"public":%t}`,
			strings.ReplaceAll(r.path, "/", "-"), siteHost, r.path, r.kind, r.deadline, r.target, r.priority, r.service, r.share == 0))
	}
	for _, x := range siteServices {
		services = append(services, fmt.Sprintf(`%q:{"health_path":"/health","max_connections":694,"protocol":"h1","tls":false}`, x.name))
	}
	return fmt.Sprintf(`{"version":"r1","routes":{%s},"services":{%s},"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":{"kino":{"api_keys":[%q],"priority":1,"rate_per_s":2000,"burst":2000}}}`, strings.Join(routes, ","), strings.Join(services, ","), maxBody, siteKey)
}

// addNode adds a VM with an address of its own, so that its ports are the same as those of the others.
func (s *site) addNode(i int, zone string, x siteService) {
	pid := os.Getpid()
	n := &siteNode{site: s, vm: fmt.Sprintf("vm-%d", i), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", 10+pid>>8&127, pid&255, i+1), first: true}
	store := httptest.NewServer(s.store.Handler(n.vm))
	s.t.Cleanup(store.Close)
	n.storeURL = strings.TrimPrefix(store.URL, "http://")
	n.settings = filepath.Join(s.dir, n.vm+".conf")
	n.upstream = newSiteUpstream(n, x)
	s.nodes = append(s.nodes, n)
	n.start()
	n.upstream.start()
}

// close ends all processes, whose addresses another site may use again.
func (s *site) close() {
	for _, n := range s.nodes {
		n.kill()
		n.upstream.crash()
	}
}

func (n *siteNode) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// Ports of each VM's address.
const (
	sitePeerPort    = 7000
	siteCallerPort  = 8548
	siteReadyPort   = 8546
	siteControlPort = 8540
	siteMetricsPort = 9464
)

func (n *siteNode) writeSettings() {
	text := fmt.Sprintf(`self.node=%s
self.ip=%s
self.zone=%s
self.service=%s
self.app_addr=%s
self.bootstrap=%t
self.limits.memory_mb=%d
network.listen.outbound=%s
network.listen.ready=%s
network.listen.control=%s
network.internal_ports=%d,7015
network.zones.%s=north
platform.heartbeat_ms=%d
platform.platform.address=%s
platform.platform.ttl_min_ms=1000
terms.bounds.revoke_ms=5000
terms.bounds.grace_s=%d
terms.bounds.retry_budget_ratio=0.2
terms.bounds.budget_window_s=10
`, n.vm, n.ip, n.zone, n.upstream.service.name, n.upstream.address(), n.first, n.site.limits.memoryMB, n.address(siteCallerPort), n.address(siteReadyPort), n.address(siteControlPort),
		sitePeerPort, n.zone, siteHeartbeat.Milliseconds(), n.storeURL, int(n.site.grace.Seconds()))
	if n.site.limits.maxFDs > 0 {
		text += fmt.Sprintf("self.limits.max_fds=%d\n", n.site.limits.maxFDs)
	}
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		n.site.t.Error(err)
	}
}

// start runs the node's process; its log goes on in the same file.
func (n *siteNode) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.writeSettings()
	n.first = false
	c := exec.Command(n.site.program, "sidecar", "-settings", n.settings, "-metrics_port", strconv.Itoa(siteMetricsPort), "-features", "relayed_watch")
	// The race detector otherwise sleeps for a second at the exit, beyond the grace period.
	c.Env = append(os.Environ(), reexecVariable+"=1", "GORACE=atexit_sleep_ms=0")
	log, err := os.OpenFile(n.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.site.t.Error(err)
		return
	}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		n.site.t.Error(err)
		return
	}
	n.command, n.exited = c, make(chan struct{})
	go func(exited chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}(n.exited)
}

func (n *siteNode) logPath() string { return filepath.Join(n.site.dir, n.vm+".log") }

func (n *siteNode) signal(s syscall.Signal) (exited chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.exited:
	default:
		_ = n.command.Process.Signal(s)
	}
	return n.exited
}

func (n *siteNode) kill() { <-n.signal(syscall.SIGKILL) }

// stop asks the process to end, kills it at the end of its grace period, and returns how long it took.
func (n *siteNode) stop() time.Duration {
	at := time.Now()
	exited := n.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(n.site.grace):
		n.kill()
	}
	return time.Since(at)
}

func (n *siteNode) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address(siteReadyPort)+platform.PathReady, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready and each serves a request to every service.
func (s *site) awaitReady() {
	for _, n := range s.nodes {
		if !eventually(n.isReady) {
			s.t.Fatalf("%s does not become ready; its log:\n%s", n.vm, n.logLines(""))
		}
		c := &siteCaller{node: n, name: "ready-" + n.vm}
		for _, r := range siteRoutes[:len(siteServices)] {
			if !eventually(func() bool { return c.send(r) == http.StatusOK }) {
				s.t.Fatalf("%s serves no %s; its log:\n%s", n.vm, r.path, n.logLines(""))
			}
		}
	}
}

// logLines returns the lines of the node's log that contain the text.
func (n *siteNode) logLines(text string) string {
	b, _ := os.ReadFile(n.logPath())
	var out []string
	for _, l := range strings.Split(string(b), "\n") {
		if strings.Contains(l, text) {
			out = append(out, l)
		}
	}
	return strings.Join(out, "\n")
}

// since returns the seconds since the site's start.
func (s *site) since() float64 { return time.Since(s.startAt).Seconds() }

// listenAt listens on the address again after its last listener has closed.
func listenAt(address string) (net.Listener, error) {
	var l net.Listener
	var err error
	eventually(func() bool {
		l, err = net.Listen("tcp", address)
		return err == nil
	})
	return l, err
}
