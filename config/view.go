package config

import (
	"encoding/json"
	"strings"
	"sync"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/mirror"
)

// View implements pomelo.Configuration.
type View struct {
	log      pomelo.Logger
	position func() pomelo.Position
	fresh    func() bool
	mu       sync.RWMutex
	accounts map[string]pomelo.ClientAccount
	keys     map[string]pomelo.Key
	routes   map[string]pomelo.Route
	goals    map[string]pomelo.Objective
	stops    map[string]pomelo.Stop
}

// New returns a view of the mirror's configuration records.
func New(m *mirror.Mirror, log pomelo.Logger, opts ...func(*View)) *View {
	v := &View{
		log:      log,
		position: m.Position,
		fresh:    func() bool { return true },
		accounts: map[string]pomelo.ClientAccount{},
		keys:     map[string]pomelo.Key{},
		routes:   map[string]pomelo.Route{},
		goals:    map[string]pomelo.Objective{},
		stops:    map[string]pomelo.Stop{},
	}
	for _, o := range opts {
		o(v)
	}
	m.OnChange(v.apply)
	return v
}

// TrustWhen makes KeysTrusted depend on whether what the mirror holds is fresh.
func (v *View) TrustWhen(fresh func() bool) {
	v.fresh = fresh
}

func (v *View) apply(records []pomelo.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range records {
		if err := v.take(r); err != nil {
			v.log.Warn("configuration_record_unreadable", "key", r.Key, "error", err.Error())
		}
	}
}

// Account returns the client account of that name.
func (v *View) Account(name string) (pomelo.ClientAccount, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	a, ok := v.accounts[name]
	return a, ok
}

// Key returns the key with that id, withdrawn or not.
func (v *View) Key(id string) (pomelo.Key, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	k, ok := v.keys[id]
	return k, ok
}

// Route returns the route whose name fits the method and is the longest prefix of the path by whole segments.
func (v *View) Route(method, path string) (pomelo.Route, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	for p := path; ; p = parent(p) {
		if r, ok := v.routes[method+" "+p]; ok {
			return r, true
		}
		if p == "/" || p == "" {
			return pomelo.Route{}, false
		}
	}
}

// HasRoute reports whether the route of exactly this name is known.
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
	o, ok := v.goals[service]
	return o, ok
}

// Stop returns the VM's planned stop.
func (v *View) Stop(vm string) (pomelo.Stop, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s, ok := v.stops[vm]
	return s, ok
}

// Revision is the store's revision up to which the view is complete.
func (v *View) Revision() pomelo.Revision {
	return v.position().Revision
}

// KeysFresh is true while a withdrawn key would be known here.
func (v *View) KeysFresh() bool {
	return v.Revision() > 0 && v.fresh()
}

func (v *View) take(r pomelo.Record) error {
	switch {
	case strings.HasPrefix(r.Key, pomelo.PrefixAccount):
		return v.takeAccount(r)
	case strings.HasPrefix(r.Key, pomelo.PrefixKey):
		return v.takeKey(r)
	case strings.HasPrefix(r.Key, pomelo.PrefixRoute):
		return v.takeRoute(r)
	case strings.HasPrefix(r.Key, pomelo.PrefixObjective):
		return v.takeObjective(r)
	case strings.HasPrefix(r.Key, pomelo.PrefixStop):
		return v.takeStop(r)
	}
	return nil
}

func (v *View) takeAccount(r pomelo.Record) error {
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

func (v *View) takeKey(r pomelo.Record) error {
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

func (v *View) takeRoute(r pomelo.Record) error {
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

func (v *View) takeObjective(r pomelo.Record) error {
	var o pomelo.Objective
	if r.Deleted {
		delete(v.goals, strings.TrimPrefix(r.Key, pomelo.PrefixObjective))
		return nil
	}
	if err := json.Unmarshal(r.Value, &o); err != nil {
		return err
	}
	v.goals[o.Service] = o
	return nil
}

func (v *View) takeStop(r pomelo.Record) error {
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

func parent(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i <= 0 {
		return "/"
	}
	return path[:i]
}
