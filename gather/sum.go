package gather

import (
	"cmp"
	"slices"
	"sync"

	"github.com/pomeloworks/pomelo"
)

// reportSum adds up reports as they arrive, so that the counts of a large fleet are never in memory all at once.
type reportSum struct {
	mu           sync.Mutex
	reports      []pomelo.Report
	unresponsive []string
	counts       map[countKey][]int64
}

// maxCounts limits the counts in a sum; client accounts beyond the limit are aggregated.
const maxCounts = 16_384

// countKey identifies one count of the sum.
type countKey struct {
	service, account, outcome string
}

func (s *reportSum) add(vm string, r pomelo.Report, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.unresponsive = append(s.unresponsive, vm)
		return
	}
	for _, c := range r.Counts {
		s.count(c)
	}
	r.Counts = nil
	s.reports = append(s.reports, r)
}

func (s *reportSum) count(c pomelo.OutcomeCount) {
	if s.counts == nil {
		s.counts = map[countKey][]int64{}
	}
	key := countKey{c.Service, c.Account, c.Outcome}
	total, ok := s.counts[key]
	if !ok && len(s.counts) >= maxCounts {
		key.account = pomelo.OtherAccounts
		total, ok = s.counts[key]
	}
	if !ok {
		s.counts[key] = slices.Clone(c.PerWindow)
		return
	}
	for i := range min(len(total), len(c.PerWindow)) {
		total[i] += c.PerWindow[i]
	}
}

func (s *reportSum) fleetReport() pomelo.FleetReport {
	report := pomelo.FleetReport{Reports: s.reports, Unresponsive: s.unresponsive}
	for key, total := range s.counts {
		report.Counts = append(report.Counts, pomelo.OutcomeCount{Service: key.service, Account: key.account, Outcome: key.outcome, PerWindow: total})
	}
	slices.Sort(report.Unresponsive)
	slices.SortFunc(report.Reports, func(a, b pomelo.Report) int { return cmp.Compare(a.VM, b.VM) })
	slices.SortFunc(report.Counts, func(a, b pomelo.OutcomeCount) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Outcome, b.Outcome))
	})
	return report
}
