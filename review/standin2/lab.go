package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pomeloworks/pomelo/platform/fake"
)

const (
	readyTimeout = 15 * time.Second
	stopTimeout  = 8 * time.Second
	pollInterval = 50 * time.Millisecond
	// memoryMB is the memory limit of a node.
	memoryMB = 284
)

// lab is one small deployment: a store, and machines with a node and an endpoint each.
type lab struct {
	program  string
	dir      string
	network  string
	start    time.Time
	store    *fake.Server
	storeURL string
	ctx      context.Context
	cancel   context.CancelFunc
	machines []*machine

	mu     sync.Mutex
	file   *os.File
	record *bufio.Writer
}

func newLab(program, recordFile string) (*lab, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "pomelo-review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	l := &lab{program: path, dir: dir, start: time.Now(), file: file, record: bufio.NewWriter(file), store: fake.New()}
	l.network = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
	l.ctx, l.cancel = context.WithCancel(context.Background())
	go l.store.Run(l.ctx)
	_, l.storeURL, err = l.serve(net.JoinHostPort(l.network+"250", "0"), l.store.Handler("all"))
	return l, err
}

// serve serves the handler at the address until the server or the lab closes.
func (l *lab) serve(address string, h http.Handler) (*http.Server, string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	go func() { _ = s.Serve(listener) }()
	context.AfterFunc(l.ctx, func() { _ = s.Close() })
	return s, listener.Addr().String(), nil
}

// now returns the time since the start of the case.
func (l *lab) now() time.Duration {
	return time.Since(l.start)
}

// note writes one line with its time to the record.
func (l *lab) note(format string, values ...any) {
	l.noteAt(l.now(), format, values...)
}

func (l *lab) noteAt(at time.Duration, format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f %s\n", at.Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes that the lab has started, and the record.
func (l *lab) close() {
	var stopping sync.WaitGroup
	for _, m := range l.machines {
		stopping.Go(m.stop)
	}
	stopping.Wait()
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.record.Flush()
	_ = l.file.Close()
	_ = os.RemoveAll(l.dir)
}

// addMachine starts an endpoint of the service and the node beside it.
func (l *lab) addMachine(service, zone string, opts endpointOptions) error {
	m := &machine{lab: l, name: fmt.Sprintf("sidecar-%s-%d", zone, len(l.machines)+1), zone: zone, service: service, ip: fmt.Sprintf("%s%d", l.network, len(l.machines)+1)}
	if err := m.start(opts); err != nil {
		return err
	}
	l.machines = append(l.machines, m)
	return nil
}

// awaitReady waits until all nodes say that they are ready, and for the members to know each other.
func (l *lab) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, m := range l.machines {
		for !m.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready", m.name)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// machine is one machine with its node and its endpoint.
type machine struct {
	lab      *lab
	name     string
	zone     string
	service  string
	ip       string
	outbound string
	control  string
	ready    string
	peers    string
	endpoint *endpoint
	process  *exec.Cmd
	ended    chan struct{}
	// ends is the number of times that the platform has ended the node for its memory.
	ends atomic.Int64
}

func (m *machine) start(opts endpointOptions) error {
	var err error
	for _, p := range []*string{&m.outbound, &m.control, &m.ready} {
		if *p, err = freeAddress(m.ip); err != nil {
			return err
		}
	}
	if m.peers, err = freeAddress(m.ip); err != nil {
		return err
	}
	if m.endpoint, err = newEndpoint(m, opts); err != nil {
		return err
	}
	if err := m.startNode(); err != nil {
		return err
	}
	go m.endpoint.sendHeartbeats(m.lab.ctx)
	return nil
}

// freeAddress returns an address of the machine with a port that is free now.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// startNode starts the node with the arguments of the deploy file.
func (m *machine) startNode() error {
	settings := filepath.Join(m.lab.dir, m.name+".conf")
	if err := os.WriteFile(settings, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(m.lab.dir, m.name+".log"))
	if err != nil {
		return err
	}
	m.process = exec.Command(m.lab.program, "sidecar", "-metrics_port", "9464", "-features", "relayed_watch")
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settings"] + "=" + settings}
	m.process.Stdout, m.process.Stderr = log, log
	if err := m.process.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		err := p.Wait()
		_ = log.Close()
		m.lab.note("node %s ended: %v", m.name, err)
		close(ended)
	}(m.process, m.ended)
	m.lab.note("node %s started, service %s", m.name, m.service)
	return nil
}

// stop ends the node, by SIGKILL if it does not end by itself.
func (m *machine) stop() {
	if m.process == nil {
		return
	}
	_ = m.process.Process.Signal(syscall.SIGCONT)
	_ = m.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.ended:
	case <-time.After(stopTimeout):
		_ = m.process.Process.Kill()
		<-m.ended
	}
}

func (m *machine) isReady() bool {
	resp, err := http.Get("http://" + m.ready + names["ready"])
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *machine) settings() string {
	_, peerPort, _ := net.SplitHostPort(m.peers)
	lines := []string{
		"self.node=" + m.name,
		"self.role=sidecar",
		"self.machine_class=sidecar",
		"self.serves=sidecar",
		"self.ip=" + m.ip,
		"self.zone=" + m.zone,
		"self.region=sofia",
		"self.counts_as_loss=false",
		fmt.Sprintf("self.bootstrap=%t", m.ends.Load() == 0),
		"self.limits.cpu_share=0.64",
		"self.limits.cores=1",
		"self.limits.memory_mb=" + strconv.Itoa(memoryMB),
		"self.limits.max_fds=4100",
		"self.limits.link_mbps=1000.0",
		"self.limits.disk_mb=0",
		"self.app_addr=" + m.endpoint.address,
		"self.service=" + m.service,
		"network.listen.outbound=" + m.outbound,
		"network.listen.ready=" + m.ready,
		"network.listen.control=" + m.control,
		"network.internal_ports=" + peerPort + "," + peerPort,
		"network.seeds=",
		"network.zones.sofia-a=sofia",
		"network.zones.sofia-b=sofia",
		"network.zones.sofia-c=sofia",
		"platform.discovery=static",
		"platform.entry=static",
		"platform.heartbeat_ms=1500",
		"platform.platform.address=" + m.lab.storeURL,
		"platform.platform.form=kv",
		"platform.platform.writes_per_s=400",
		"platform.platform.reads_per_s=2000",
		"platform.platform.history_s=20",
		"platform.platform.value_bytes=1048576",
		"platform.platform.ttl_min_ms=1000",
		"terms.contracts=base,drain,config,cost,retry,recover,pressure,tenants,quota,platform",
		"terms.bounds.stable_ms=3000",
		"terms.bounds.drain_ms=2000",
		"terms.bounds.grace_s=6",
		"terms.bounds.config_apply_ms=2000",
		"terms.bounds.revoke_strict=true",
		"terms.bounds.revoke_ms=5000",
		"terms.bounds.retry_budget_ratio=0.2",
		"terms.bounds.budget_window_s=10",
		"terms.bounds.retry_slack=48",
		"terms.bounds.quota_window_s=5",
		"terms.bounds.quota_overage=0.1",
		"terms.bounds.quota_slack=20",
		"terms.bounds.recovery_s=15",
	}
	return strings.Join(lines, "\n") + "\n"
}
