package shed_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/fleet"
	"github.com/pomeloworks/pomelo/load"
)

// The scaled-down fleet: a chain of three services, of which the last one has the least capacity.
const (
	sensorSlots      = 2
	sensorTime       = pomelo.Millis(20)
	sensorCount      = 3
	capacity         = sensorSlots * sensorCount * 1000 / 20
	slowFactor       = 5
	usualShare       = 0.6
	surgeFactor      = 2 / usualShare
	triggerAt        = pomelo.Millis(3_000)
	triggerUntil     = pomelo.Millis(9_000)
	recoveryLength   = pomelo.Millis(15_000)
	requestTimeout   = pomelo.Millis(1_000)
	immediateRetries = 3
	recoveredShare   = 0.95
	millisInSecond   = 1000
)

var accounts = []string{"large-1", "large-2", "small-1", "small-2", "small-3", "small-4", "small-5", "small-6"}

type kind struct {
	method     string
	path       string
	importance int
	share      float64
}

func kinds() []kind {
	return []kind{
		{method: "POST", path: "/valves", importance: 9, share: 0.08},
		{method: "POST", path: "/orders", importance: 6, share: 0.22},
		{method: "GET", path: "/history", importance: 3, share: 0.7},
	}
}

func chain(service string, count, slots int, time pomelo.Millis, subService string) pomelo.FleetService {
	u := pomelo.FakeUpstream{
		Service:     service,
		Slots:       slots,
		Connections: 10 * slots,
		ServiceTime: time,
		Jitter:      pomelo.FakeJitterExponential,
		JitterShare: 0.5,
		Seed:        1,
	}
	if subService != "" {
		u.SubCalls = []pomelo.FakeSubCall{{Service: subService, Method: "GET", Path: "/read", Count: 1}}
	}
	return pomelo.FleetService{Upstream: u, Count: count, Zones: []string{"one", "two", "three"}}
}

func overloadPlan(control string, disabled []string) pomelo.FleetPlan {
	p := pomelo.FleetPlan{
		Services: []pomelo.FleetService{
			chain("front", 2, 50, 3, "middle"),
			chain("middle", 2, 50, 3, "sensors"),
			chain("sensors", sensorCount, sensorSlots, sensorTime, ""),
		},
		Limits: pomelo.DefaultLimits(),
	}
	p.Limits.Control = control
	p.Limits.Disabled = disabled
	for _, a := range accounts {
		p.Accounts = append(p.Accounts, pomelo.ClientAccount{Name: a, Rate: 1e6, Burst: 1e6})
	}
	for _, k := range kinds() {
		p.Routes = append(p.Routes, pomelo.Route{
			Name:          k.method + " " + k.path,
			Service:       "front",
			Importance:    k.importance,
			NonIdempotent: k.method == "POST",
			Timeout:       requestTimeout,
		})
	}
	return p
}

// streams returns the load of total requests a second: a quarter from each large account, a twelfth from each small one.
func streams(f *fleet.Fleet, total float64, surge map[string][]pomelo.LoadSurge) []pomelo.LoadStream {
	var all []pomelo.LoadStream
	for i, a := range accounts {
		share := 1.0 / 12
		if i < 2 {
			share = 1.0 / 4
		}
		for _, k := range kinds() {
			all = append(all, pomelo.LoadStream{
				Name:       a + " " + k.path,
				Account:    a,
				Key:        f.Secret(a),
				Method:     k.method,
				Path:       k.path,
				Importance: k.importance,
				Worth:      1,
				Rate:       total * share * k.share,
				Timeout:    requestTimeout,
				Retry:      pomelo.LoadRetry{Kind: pomelo.LoadRetryImmediate, Limit: immediateRetries},
				Surges:     surge[a],
			})
		}
	}
	return all
}

type overloadRun struct {
	fleet  *fleet.Fleet
	report pomelo.LoadReport
}

func runOverload(b *testing.B, control string, disabled []string, p pomelo.LoadPlan, surge map[string][]pomelo.LoadSurge, slow bool) overloadRun {
	f := fleet.New(overloadPlan(control, disabled))
	if err := f.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = f.Stop(context.Background()) }()
	p.Seed = 1
	p.Targets = f.Targets()
	p.Streams = streams(f, capacity*usualShare, surge)
	for i := range f.Upstreams() {
		if slow && i >= len(f.Upstreams())-sensorCount {
			p.Triggers = append(p.Triggers, pomelo.LoadTrigger{
				At: triggerAt, Until: triggerUntil, URLs: []string{"http://" + f.Upstreams()[i].Addr()},
				Fault: pomelo.FakeFault{SlowFactor: slowFactor},
			})
		}
	}
	report, err := load.New(p).Run(context.Background())
	if err != nil {
		b.Fatal(err)
	}
	return overloadRun{fleet: f, report: report}
}

func countBetween(seconds []pomelo.LoadSecond, from, to int) (offered, complete int64) {
	for _, s := range seconds {
		if s.Second >= from && s.Second < to {
			offered += s.Offered
			complete += s.Complete
		}
	}
	return offered, complete
}

func completeShare(seconds []pomelo.LoadSecond, from, to int) float64 {
	offered, complete := countBetween(seconds, from, to)
	return float64(complete) / max(1, float64(offered))
}

// recovery returns the number of seconds from the trigger's end until every later second has at least recoveredShare of complete answers.
func recovery(seconds []pomelo.LoadSecond) int {
	end := int(triggerUntil / millisInSecond)
	for s := int(recoveryLength/millisInSecond) - 1; s >= end; s-- {
		if completeShare(seconds, s, s+1) < recoveredShare {
			return s + 1 - end
		}
	}
	return 0
}

// BenchmarkRecovery slows the last service of the chain to a fifth while demand is twice its usual capacity; run it with -benchtime=1x.
func BenchmarkRecovery(b *testing.B) {
	for _, control := range []string{pomelo.ControlFull, pomelo.ControlFixed, pomelo.ControlNone} {
		b.Run(control, func(b *testing.B) { measureRecovery(b, control, nil) })
	}
	for _, feature := range pomelo.ControlFeatures() {
		b.Run("off_"+feature, func(b *testing.B) { measureRecovery(b, pomelo.ControlFull, []string{feature}) })
	}
}

func measureRecovery(b *testing.B, control string, disabled []string) {
	surge := map[string][]pomelo.LoadSurge{}
	for _, a := range accounts {
		surge[a] = []pomelo.LoadSurge{{From: triggerAt, To: triggerUntil, Factor: surgeFactor}}
	}
	var r overloadRun
	for b.Loop() {
		r = runOverload(b, control, disabled, pomelo.LoadPlan{Duration: recoveryLength}, surge, true)
	}
	from, to := int(triggerAt/millisInSecond)+1, int(triggerUntil/millisInSecond)
	_, complete := countBetween(r.report.Total.Seconds, from, to)
	b.ReportMetric(float64(complete)/float64(to-from)/(capacity/slowFactor), "goodput/capacity")
	b.ReportMetric(float64(recovery(r.report.Total.Seconds)), "s-to-95%")
	b.ReportMetric(completeShare(r.report.Total.Seconds, 1, 3), "before")
	for _, k := range kinds() {
		b.ReportMetric(r.kindShare(k, from, to), k.path[1:])
	}
	r.reportCommon(b)
}

// BenchmarkSurge lets one large account send six times its share; run it with -benchtime=1x.
func BenchmarkSurge(b *testing.B) {
	for _, control := range []string{pomelo.ControlFull, pomelo.ControlFixed, pomelo.ControlNone} {
		b.Run(control, func(b *testing.B) { measureSurge(b, control, nil) })
	}
	b.Run("off_fair", func(b *testing.B) { measureSurge(b, pomelo.ControlFull, []string{pomelo.FeatureFairness}) })
}

func measureSurge(b *testing.B, control string, disabled []string) {
	surge := map[string][]pomelo.LoadSurge{accounts[0]: {{From: triggerAt, To: triggerUntil, Factor: 6}}}
	var r overloadRun
	for b.Loop() {
		r = runOverload(b, control, disabled, pomelo.LoadPlan{Duration: triggerUntil + triggerAt}, surge, false)
	}
	from, to := int(triggerAt/millisInSecond), int(triggerUntil/millisInSecond)
	worst := 1.0
	for _, a := range accounts[1:] {
		worst = min(worst, r.accountShare(a, from, to)/max(r.accountShare(a, 1, from), 1e-9))
	}
	_, complete := countBetween(r.report.Total.Seconds, from, to)
	b.ReportMetric(worst, "worst/without")
	b.ReportMetric(r.accountShare(accounts[0], from, to), "surging")
	b.ReportMetric(float64(complete)/float64(to-from)/capacity, "goodput/capacity")
	r.reportCommon(b)
}

func (r overloadRun) kindShare(k kind, from, to int) float64 {
	var offered, complete int64
	for _, s := range r.report.Streams {
		if s.Name == s.Account+" "+k.path {
			o, c := countBetween(s.Seconds, from, to)
			offered += o
			complete += c
		}
	}
	return float64(complete) / float64(max(1, offered))
}

func (r overloadRun) accountShare(account string, from, to int) float64 {
	var offered, complete int64
	for _, s := range r.report.Streams {
		if s.Account == account {
			o, c := countBetween(s.Seconds, from, to)
			offered += o
			complete += c
		}
	}
	return float64(complete) / float64(max(1, offered))
}

func (r overloadRun) reportCommon(b *testing.B) {
	t := r.report.Total
	var started int64
	for _, u := range r.fleet.Upstreams() {
		started += u.Counters().Started
	}
	useful := float64(3 * t.Complete)
	b.ReportMetric(1-useful/float64(max(1, started)), "work-wasted")
	b.ReportMetric(t.RefusalLatency.P99, "refusal-p99-ms")
	b.ReportMetric(t.Latency.P99, "latency-p99-ms")
	b.ReportMetric(0, "ns/op")
	b.Log(fmt.Sprint("refused ", t.Refused, " failed ", t.Failed, " wrong ", t.Mismatched, " unsent ", t.Unsent, " attempts ", t.AttemptsPerRequest))
	var line strings.Builder
	for _, s := range t.Seconds {
		fmt.Fprintf(&line, " %d/%d", s.Complete, s.Offered)
	}
	b.Log("complete/offered by second:" + line.String())
	for _, u := range r.fleet.Upstreams() {
		c := u.Counters()
		b.Logf("started %d cancelled %d cancelled waiting %d sub-calls failed %d max running %d", c.Started, c.Cancelled, c.CancelledWaiting, c.SubCallsFailed, c.MaxRunning)
	}
}
