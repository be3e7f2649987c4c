package send

import (
	"math/rand/v2"
	"strings"

	"github.com/pomeloworks/pomelo"
)

// WithEvacuations sends no call to a member in an evacuated zone.
func WithEvacuations(e pomelo.Evacuations) func(*Sender) {
	return func(s *Sender) { s.evacuations = e }
}

func (s *Sender) filterOf(c pomelo.Call) filter {
	f := filter{regions: c.Regions}
	if s.evacuations != nil {
		f.evacuated = s.evacuations.Evacuated()
	}
	return f
}

// candidates returns the members that may receive the call. If the filter leaves none of those that serve, draining members that it allows are tried, as Membership does when all members drain.
func (s *Sender) candidates(c pomelo.Call) []pomelo.Member {
	serving := s.members.Serving(c.Service)
	f := s.filterOf(c)
	if f.isEmpty() || len(serving) == 0 {
		return serving
	}
	if allowed := s.filtered.apply(c.Service, serving, f); len(allowed) > 0 {
		return allowed
	}
	return f.apply(s.draining(c.Service))
}

// draining returns the draining members of the service that still have an upstream.
func (s *Sender) draining(service string) []pomelo.Member {
	var out []pomelo.Member
	for _, m := range s.members.All() {
		if m.Service == service && m.Draining && m.HasUsableUpstream() {
			out = append(out, m)
		}
	}
	return out
}

// noCandidate returns the refusal of a call that no member may receive.
func (s *Sender) noCandidate(c pomelo.Call) *pomelo.Fault {
	upstreams := "upstreams of service " + c.Service
	if c.Regions != nil {
		upstreams += " in the regions [" + strings.Join(c.Regions, ", ") + "]"
	}
	f := s.filterOf(c)
	for _, m := range s.members.Serving(c.Service) {
		if f.allowsRegion(m) && !f.allows(m) {
			return pomelo.NewOverload("all "+upstreams+" are in evacuated zones", rand.Float64())
		}
	}
	if c.Regions == nil {
		return noUpstream(c.Service)
	}
	out := pomelo.NewFault(pomelo.KindNoUpstream, "no "+upstreams+" that the call's route and account allow are known", "add upstreams there, or allow further regions")
	out.RetryAfter = noUpstreamRetryAfter
	return out
}
