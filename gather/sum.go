package gather

import (
	"cmp"
	"slices"
	"sync"

	"github.com/pomeloworks/pomelo"
)

// sum adds reports up as they come, so that those of a large fleet are never held all at once.
type sum struct {
	mu      sync.Mutex
	reports []pomelo.Report
	silent  []string
	counts  map[name][]int64
}

// mostCounts bounds the sum; client accounts beyond it are added up together.
const mostCounts = 16_384

type name struct {
	service, account, outcome string
}

func (s *sum) add(vm string, r pomelo.Report, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.silent = append(s.silent, vm)
		return
	}
	for _, c := range r.Counts {
		s.count(c)
	}
	r.Counts = nil
	s.reports = append(s.reports, r)
}

func (s *sum) count(c pomelo.OutcomeCount) {
	if s.counts == nil {
		s.counts = map[name][]int64{}
	}
	n := name{c.Service, c.Account, c.Outcome}
	total, ok := s.counts[n]
	if !ok && len(s.counts) >= mostCounts {
		n.account = pomelo.OtherAccounts
		total, ok = s.counts[n]
	}
	if !ok {
		s.counts[n] = slices.Clone(c.PerWindow)
		return
	}
	for i := range min(len(total), len(c.PerWindow)) {
		total[i] += c.PerWindow[i]
	}
}

func (s *sum) gathered() pomelo.FleetReport {
	g := pomelo.FleetReport{Reports: s.reports, Unresponsive: s.silent}
	for n, total := range s.counts {
		g.Counts = append(g.Counts, pomelo.OutcomeCount{Service: n.service, Account: n.account, Outcome: n.outcome, PerWindow: total})
	}
	slices.Sort(g.Unresponsive)
	slices.SortFunc(g.Reports, func(a, b pomelo.Report) int { return cmp.Compare(a.VM, b.VM) })
	slices.SortFunc(g.Counts, func(a, b pomelo.OutcomeCount) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Outcome, b.Outcome))
	})
	return g
}
