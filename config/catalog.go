package config

import (
	"cmp"
	"slices"

	"github.com/pomeloworks/pomelo"
)

var _ pomelo.Catalog = (*View)(nil)

// Accounts returns the client accounts ordered by name.
func (v *View) Accounts() []pomelo.ClientAccount {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make([]pomelo.ClientAccount, 0, len(v.accounts))
	for _, a := range v.accounts {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b pomelo.ClientAccount) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Keys returns the keys ordered by account and id, including withdrawn ones.
func (v *View) Keys() []pomelo.Key {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make([]pomelo.Key, 0, len(v.keys))
	for _, k := range v.keys {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b pomelo.Key) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// Routes returns the routes ordered by name.
func (v *View) Routes() []pomelo.Route {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make([]pomelo.Route, 0, len(v.routes))
	for _, r := range v.routes {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b pomelo.Route) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Objectives returns the objectives ordered by service.
func (v *View) Objectives() []pomelo.Objective {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make([]pomelo.Objective, 0, len(v.objectives))
	for _, o := range v.objectives {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b pomelo.Objective) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// Stops returns the planned stops ordered by VM, including withdrawn ones.
func (v *View) Stops() []pomelo.Stop {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make([]pomelo.Stop, 0, len(v.stops))
	for _, s := range v.stops {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b pomelo.Stop) int { return cmp.Compare(a.VM, b.VM) })
	return out
}
