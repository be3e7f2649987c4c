package config

import (
	"encoding/json"
	"strings"
	"sync"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/mirror"
)

// View implements pomelo.Configuration and pomelo.Catalog.
type View struct {
	log        pomelo.Logger
	position   func() pomelo.Position
	fresh      func() bool
	mu         sync.RWMutex
	accounts   map[string]pomelo.ClientAccount
	keys       map[string]pomelo.Key
	routes     map[string]pomelo.Route
	objectives map[string]pomelo.Objective
	stops      map[string]pomelo.Stop
	// onAccounts are called with the accounts whose records have been applied.
	onAccounts []func([]pomelo.ClientAccount)
}

// New returns a view of the mirror's configuration records.
func New(m *mirror.Mirror, log pomelo.Logger, opts ...func(*View)) *View {
	v := &View{
		log:        log,
		position:   m.Position,
		fresh:      func() bool { return true },
		accounts:   map[string]pomelo.ClientAccount{},
		keys:       map[string]pomelo.Key{},
		routes:     map[string]pomelo.Route{},
		objectives: map[string]pomelo.Objective{},
		stops:      map[string]pomelo.Stop{},
	}
	for _, o := range opts {
		o(v)
	}
	m.OnChange(v.apply)
	return v
}

// SetFreshnessCheck makes KeysFresh depend on fresh, which reports whether the mirror is fresh.
func (v *View) SetFreshnessCheck(fresh func() bool) {
	v.fresh = fresh
}

// OnAccounts registers a function that is called with the client accounts whose rate or burst may have changed; it must be called before the first change.
func (v *View) OnAccounts(f func([]pomelo.ClientAccount)) {
	v.onAccounts = append(v.onAccounts, f)
}

func (v *View) apply(records []pomelo.Record) {
	accounts := v.applyAll(records)
	if len(accounts) == 0 {
		return
	}
	for _, f := range v.onAccounts {
		f(accounts)
	}
}

// applyAll applies the records, and returns the client accounts among them.
func (v *View) applyAll(records []pomelo.Record) []pomelo.ClientAccount {
	v.mu.Lock()
	defer v.mu.Unlock()
	var accounts []pomelo.ClientAccount
	for _, r := range records {
		if err := v.applyRecord(r); err != nil {
			v.log.Warn("configuration_record_unreadable", "key", r.Key, "error", err.Error())
			continue
		}
		name, ok := strings.CutPrefix(r.Key, pomelo.PrefixAccount)
		if a, known := v.accounts[name]; ok && known {
			accounts = append(accounts, a)
		}
	}
	return accounts
}

// Account returns the client account with this name.
func (v *View) Account(name string) (pomelo.ClientAccount, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	a, ok := v.accounts[name]
	return a, ok
}

// Key returns the key with this id, whether withdrawn or not.
func (v *View) Key(id string) (pomelo.Key, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	k, ok := v.keys[id]
	return k, ok
}

// Route returns the route for the method with the longest path prefix, compared by complete segments.
func (v *View) Route(method, path string) (pomelo.Route, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for p := path; ; p = parentPath(p) {
		if r, ok := v.routes[method+" "+p]; ok {
			return r, true
		}
		if p == "/" || p == "" {
			return pomelo.Route{}, false
		}
	}
}

// HasRoute reports whether a route with exactly this name is known.
func (v *View) HasRoute(name string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	_, ok := v.routes[name]
	return ok
}

// Objective returns the service's objective.
func (v *View) Objective(service string) (pomelo.Objective, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	o, ok := v.objectives[service]
	return o, ok
}

// Stop returns the VM's planned stop.
func (v *View) Stop(vm string) (pomelo.Stop, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s, ok := v.stops[vm]
	return s, ok
}

// Revision returns the store revision up to which the view is complete.
func (v *View) Revision() pomelo.Revision {
	return v.position().Revision
}

// KeysFresh reports whether this node would know that a key has been withdrawn.
func (v *View) KeysFresh() bool {
	return v.Revision() > 0 && v.fresh()
}

func (v *View) applyRecord(r pomelo.Record) error {
	switch {
	case strings.HasPrefix(r.Key, pomelo.PrefixAccount):
		return v.applyAccount(r)
	case strings.HasPrefix(r.Key, pomelo.PrefixKey):
		return v.applyKey(r)
	case strings.HasPrefix(r.Key, pomelo.PrefixRoute):
		return v.applyRoute(r)
	case strings.HasPrefix(r.Key, pomelo.PrefixObjective):
		return v.applyObjective(r)
	case strings.HasPrefix(r.Key, pomelo.PrefixStop):
		return v.applyStop(r)
	}
	return nil
}

func (v *View) applyAccount(r pomelo.Record) error {
	var a pomelo.ClientAccount
	if r.Deleted {
		delete(v.accounts, strings.TrimPrefix(r.Key, pomelo.PrefixAccount))
		return nil
	}
	if err := json.Unmarshal(r.Value, &a); err != nil {
		return err
	}
	v.accounts[a.Name] = a
	return nil
}

func (v *View) applyKey(r pomelo.Record) error {
	var k pomelo.Key
	if r.Deleted {
		delete(v.keys, strings.TrimPrefix(r.Key, pomelo.PrefixKey))
		return nil
	}
	if err := json.Unmarshal(r.Value, &k); err != nil {
		return err
	}
	v.keys[k.ID] = k
	return nil
}

func (v *View) applyRoute(r pomelo.Record) error {
	var t pomelo.Route
	if r.Deleted {
		delete(v.routes, strings.TrimPrefix(r.Key, pomelo.PrefixRoute))
		return nil
	}
	if err := json.Unmarshal(r.Value, &t); err != nil {
		return err
	}
	if t.Removed {
		delete(v.routes, t.Name)
		return nil
	}
	v.routes[t.Name] = t
	return nil
}

func (v *View) applyObjective(r pomelo.Record) error {
	var o pomelo.Objective
	if r.Deleted {
		delete(v.objectives, strings.TrimPrefix(r.Key, pomelo.PrefixObjective))
		return nil
	}
	if err := json.Unmarshal(r.Value, &o); err != nil {
		return err
	}
	v.objectives[o.Service] = o
	return nil
}

func (v *View) applyStop(r pomelo.Record) error {
	var s pomelo.Stop
	if r.Deleted {
		delete(v.stops, strings.TrimPrefix(r.Key, pomelo.PrefixStop))
		return nil
	}
	if err := json.Unmarshal(r.Value, &s); err != nil {
		return err
	}
	v.stops[s.VM] = s
	return nil
}

func parentPath(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i <= 0 {
		return "/"
	}
	return path[:i]
}
