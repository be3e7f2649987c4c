package wiring

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/admin"
	"github.com/pomeloworks/pomelo/burn"
	"github.com/pomeloworks/pomelo/certs"
	"github.com/pomeloworks/pomelo/change"
	"github.com/pomeloworks/pomelo/config"
	"github.com/pomeloworks/pomelo/dialer"
	"github.com/pomeloworks/pomelo/gather"
	"github.com/pomeloworks/pomelo/health"
	"github.com/pomeloworks/pomelo/listen"
	"github.com/pomeloworks/pomelo/member"
	"github.com/pomeloworks/pomelo/metric"
	"github.com/pomeloworks/pomelo/mirror"
	"github.com/pomeloworks/pomelo/query"
	"github.com/pomeloworks/pomelo/room"
	"github.com/pomeloworks/pomelo/runner"
	"github.com/pomeloworks/pomelo/show"
	"github.com/pomeloworks/pomelo/tally"
	"github.com/pomeloworks/pomelo/usage"
)

func newCertReloader(n *Node, c pomelo.Clock, log pomelo.Logger) (*certs.Reloader, error) {
	return certs.New(n.settings.Caller.CertificateFile, n.settings.Caller.PrivateKeyFile, c, log)
}

func newHealthMonitor(g pomelo.ConcurrencyLimiter, c pomelo.Clock) *health.Monitor {
	return health.New(g, c)
}

func newCollector(n *Node, r *member.Registry, d *dialer.Pool, m *mirror.Mirror, t *tally.Tally, w *health.Monitor) *gather.Collector {
	ownReport := func(q pomelo.ReportRequest) pomelo.Report {
		report := pomelo.Report{VM: n.settings.Node.VM, Position: m.Position()}
		if len(q.Windows) > 0 {
			report.Counts = t.Counts(q.Windows)
			report.Health = w.Health()
		}
		return report
	}
	return gather.New(r, d, ownReport)
}

func newChanger(store pomelo.Store, c pomelo.Clock) *change.Changer {
	return change.New(store, change.WithClock(c))
}

func newTableBuilder(v *config.View, r *member.Registry, c *gather.Collector) *show.TableBuilder {
	return show.New(v, r, c.Collect)
}

func newRunner(c pomelo.Clock, ch *change.Changer, t *show.TableBuilder, r *member.Registry, g *gather.Collector) *runner.Runner {
	return runner.New(c, ch, t, r, g.CollectFrom)
}

func newBurnReporter(c pomelo.Clock, v *config.View, g *gather.Collector) *burn.Reporter {
	return burn.New(c, v, g.Collect)
}

func newUsageMeter(c pomelo.Clock, d *dialer.Pool, l *listen.Server) *usage.Meter {
	return usage.New(c, d, l)
}

func newAdmin(n *Node, p *query.Parser, r *runner.Runner, b *burn.Reporter, m *metric.Sink, u *usage.Meter, x *binder, q room.Limits, log pomelo.Logger) *admin.Server {
	metrics := func(w io.Writer) error {
		u.Sample(m)
		return m.WriteJSON(w)
	}
	return admin.New(p, r.Run, metrics, log, admin.WithTokenHashes(n.settings.Admin.TokenHashes), admin.WithBurn(b.Report), admin.WithListener(x.bind("operators", q.Others())))
}

// unwrapFault returns the *pomelo.Fault that fx has wrapped, or else the error with context.
func unwrapFault(err error) error {
	var f *pomelo.Fault
	if errors.As(err, &f) {
		return f
	}
	return errors.Wrap(err, "build the node")
}
