package main

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/budget"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/mesh"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/platform"
)

const (
	// settingsPollInterval is the interval at which the settings file is checked for changes, in milliseconds.
	settingsPollInterval = pomelo.Millis(1_000)
	// memoryLimitShare is the share of the platform's memory limit that becomes Go's soft memory limit, near which the garbage collector works harder.
	memoryLimitShare = 0.6
	// defaultStallTimeout is in milliseconds.
	defaultStallTimeout = 20_000
	// gcPercent is the maximum growth, in percent, of the heap between two garbage collections. Go collects at the earliest at 4 MB times this share: above 100 the garbage of a small node takes more memory than its state.
	gcPercent = 100
	// storeBodyBytes is the memory for the bodies of the store's responses, in bytes, of which each may use a half.
	storeBodyBytes = 16 << 20
)

func cmdSidecar() command {
	return command{
		Name:      "sidecar",
		Summary:   "runs the node beside an upstream on the users' platform",
		Arguments: "[-settings FILE] [-metrics_port PORT] [-features LIST] [-stall_timeout_ms N]",
		Action:    runSidecar,
	}
}

func runSidecar(ctx context.Context, c invocation) error {
	path := c.Flags.String("settings", os.Getenv(platform.SettingsVariable), "the platform's settings `file`")
	port := c.Flags.String("metrics_port", "", "the `port` of the node's address that serves its metrics")
	featureList := c.Flags.String("features", "", "the enabled features, as a comma-separated `list`")
	stall := c.Flags.Int("stall_timeout_ms", defaultStallTimeout, "the `milliseconds` in which a body or the reader of an answer must make progress")
	if err := c.parse(); err != nil {
		return err
	}
	if *stall <= 0 {
		return pomelo.NewFault(pomelo.KindBadSettings, "-stall_timeout_ms is not positive", "write milliseconds, such as 20000")
	}
	features, err := pomelo.ParseFeatures(*featureList)
	if err != nil {
		return err
	}
	raw, settings, err := readHostSettings(*path)
	if err != nil {
		return err
	}
	settings.Features = features
	settings.StallTimeout = pomelo.Millis(*stall)
	limitMemory(settings.MemoryBytes)
	metrics := metric.New()
	n, err := mesh.New(settings, platformHost(settings, metrics), mesh.WithOutput(c.Output), mesh.WithMetricsPort(*port), mesh.WithMetrics(metrics))
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	go watchSettings(ctx, n, *path, raw, settings)
	<-ctx.Done()
	n.Stop()
	return nil
}

// limitMemory has the garbage collector keep a process within its memory of this many bytes.
func limitMemory(bytes int) {
	debug.SetGCPercent(gcPercent)
	if bytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(bytes)))
	}
}

func platformHost(s pomelo.HostSettings, metrics pomelo.Metrics) mesh.Host {
	return mesh.Host{
		Store:            platform.NewStore(s.StoreURL, metrics, platform.WithBodies(budget.New(storeBodyBytes))),
		Dialect:          platform.NewDialect(),
		PolicyKey:        platform.KeyPolicy,
		EvacuationPrefix: platform.PrefixEvacuation,
		ParsePolicy:      platform.ParsePolicy,
		Control: func(a mesh.Announcer, service string, log pomelo.Logger) http.Handler {
			return platform.Control(a, service, log)
		},
		Ready: platform.Ready,
	}
}

func readHostSettings(path string) ([]byte, pomelo.HostSettings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, pomelo.HostSettings{}, pomelo.NewFault(pomelo.KindBadSettings, err.Error(), "set "+platform.SettingsVariable+" or pass -settings FILE")
	}
	s, err := platform.ParseSettings(raw)
	return raw, s, err
}

// watchSettings reloads the settings file on SIGHUP and when its content has changed; the options of the command line stay those that the node was started with.
func watchSettings(ctx context.Context, n *mesh.Node, path string, current []byte, started pomelo.HostSettings) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	k := clock.New()
	changed := make(chan struct{}, 1)
	go func() {
		for k.Sleep(ctx, settingsPollInterval) == nil {
			raw, err := os.ReadFile(path)
			if err == nil && !bytes.Equal(raw, current) {
				current = raw
				changed <- struct{}{}
			}
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-changed:
		}
		_, s, err := readHostSettings(path)
		s.Features = started.Features
		s.StallTimeout = started.StallTimeout
		n.Reload(s, err)
	}
}
