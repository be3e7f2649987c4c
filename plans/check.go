package plans

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pomeloworks/pomelo"
)

func checkFleet(path string, p pomelo.FleetPlan) error {
	if len(p.Services) == 0 {
		return invalidPlan(path, "the fleet has no services")
	}
	for _, s := range p.Services {
		if s.Count < 1 || len(s.Zones) == 0 || s.Upstream.Slots < 1 {
			return invalidPlan(path, fmt.Sprintf("service %q needs a count, zones and slots", s.Upstream.Service))
		}
		if err := checkSubCalls(path, p, s.Upstream); err != nil {
			return err
		}
	}
	for _, r := range p.Routes {
		if !hasService(p, r.Service) {
			return invalidPlan(path, fmt.Sprintf("route %q names the unknown service %q", r.Name, r.Service))
		}
	}
	return nil
}

func checkSubCalls(path string, p pomelo.FleetPlan, u pomelo.FakeUpstream) error {
	calls := slices.Clone(u.SubCalls)
	for _, r := range u.Routes {
		calls = append(calls, r.SubCalls...)
	}
	for _, c := range calls {
		if !hasService(p, c.Service) {
			return invalidPlan(path, fmt.Sprintf("service %q calls the unknown service %q", u.Service, c.Service))
		}
	}
	return nil
}

func hasService(p pomelo.FleetPlan, name string) bool {
	return slices.ContainsFunc(p.Services, func(s pomelo.FleetService) bool { return s.Upstream.Service == name })
}

func checkLoad(path string, p pomelo.LoadPlan) error {
	if len(p.Streams) == 0 {
		return invalidPlan(path, "the plan has no streams")
	}
	if p.Duration <= 0 {
		return invalidPlan(path, "duration_ms is not above 0")
	}
	for _, s := range p.Streams {
		if s.Rate < 0 || s.Method == "" || s.Path == "" {
			return invalidPlan(path, fmt.Sprintf("stream %q needs a method, a path and a rate", s.Name))
		}
	}
	return nil
}

func checkReferences(f pomelo.FleetPlan, p pomelo.LoadPlan) error {
	for _, s := range p.Streams {
		if !hasAccount(f, s.Account) {
			return invalidPlan(p.Name, fmt.Sprintf("stream %q is of the client account %q, which the fleet lacks", s.Name, s.Account))
		}
		if !hasRoute(f, s.Method+" "+s.Path) {
			return invalidPlan(p.Name, fmt.Sprintf("stream %q asks for %s %s, for which the fleet has no route", s.Name, s.Method, s.Path))
		}
	}
	for _, t := range p.Triggers {
		if !hasService(f, t.Service) {
			return invalidPlan(p.Name, fmt.Sprintf("a trigger names the unknown service %q", t.Service))
		}
	}
	return nil
}

func hasAccount(f pomelo.FleetPlan, name string) bool {
	return name == "" || slices.ContainsFunc(f.Accounts, func(a pomelo.ClientAccount) bool { return a.Name == name })
}

func hasRoute(f pomelo.FleetPlan, name string) bool {
	return slices.ContainsFunc(f.Routes, func(r pomelo.Route) bool { return name == r.Name || strings.HasPrefix(name, r.Name+"/") })
}
