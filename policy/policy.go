package policy

import (
	"maps"
	"slices"
	"strings"

	"github.com/pomeloworks/pomelo"
)

// minBurst is the burst of an account with a rate and no burst, in requests: less would admit none.
const minBurst = 1

// Policy implements pomelo.Policy.
type Policy struct {
	version      int64
	keysRequired bool
	limits       pomelo.TrafficLimits
	routes       map[string][]pomelo.TrafficRoute
	accounts     map[string]pomelo.TrafficAccount
	services     map[string]pomelo.TrafficService
	keys         map[string]string
	unreadKeys   map[string]bool
}

var _ pomelo.Policy = (*Policy)(nil)

// New indexes the policy; of two routes with the same host and prefix the first by name takes precedence.
func New(spec pomelo.PolicySpec) *Policy {
	p := &Policy{
		version:      spec.Version,
		keysRequired: spec.KeysRequired,
		limits:       spec.Limits,
		routes:       map[string][]pomelo.TrafficRoute{},
		accounts:     map[string]pomelo.TrafficAccount{},
		services:     map[string]pomelo.TrafficService{},
		keys:         map[string]string{},
		unreadKeys:   map[string]bool{},
	}
	for _, k := range spec.UnreadKeyIDs {
		p.unreadKeys[k] = true
	}
	for _, r := range spec.Routes {
		p.routes[r.Host] = append(p.routes[r.Host], r)
	}
	for _, rs := range p.routes {
		slices.SortFunc(rs, compareRoutes)
	}
	for _, s := range spec.Services {
		p.services[s.Name] = s
	}
	for _, a := range spec.Accounts {
		if a.IsLimited() {
			a.Burst = max(a.Burst, minBurst)
		}
		p.accounts[a.Name] = a
		for _, k := range a.KeyIDs {
			p.keys[k] = a.Name
		}
	}
	return p
}

// compareRoutes orders routes by descending length of the path prefix, then by name.
func compareRoutes(a, b pomelo.TrafficRoute) int {
	if len(a.PathPrefix) != len(b.PathPrefix) {
		return len(b.PathPrefix) - len(a.PathPrefix)
	}
	return strings.Compare(a.Name, b.Name)
}

// Version returns the policy's version; a higher version replaces a lower one.
func (p *Policy) Version() int64 {
	return p.version
}

// Limits returns the limits of a caller's connection.
func (p *Policy) Limits() pomelo.TrafficLimits {
	return p.limits
}

// Match returns the route of the host with the longest matching path prefix.
func (p *Policy) Match(host, path string) (pomelo.TrafficRoute, bool) {
	name := strings.ToLower(host)
	rs, ok := p.routes[name]
	if !ok {
		name, _, _ = strings.Cut(name, ":")
		rs = p.routes[name]
	}
	for _, r := range rs {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return pomelo.TrafficRoute{}, false
}

// AccountByKey returns the client account that owns the key.
func (p *Policy) AccountByKey(keyID string) (pomelo.TrafficAccount, bool) {
	name, ok := p.keys[keyID]
	if !ok {
		return pomelo.TrafficAccount{}, false
	}
	return p.Account(name)
}

// IsKeyUnread reports whether the key is one of an account that could not be read.
func (p *Policy) IsKeyUnread(keyID string) bool {
	return p.unreadKeys[keyID]
}

// Account returns the client account with this name.
func (p *Policy) Account(name string) (pomelo.TrafficAccount, bool) {
	a, ok := p.accounts[name]
	return a, ok
}

// Accounts returns the client accounts ordered by name.
func (p *Policy) Accounts() []pomelo.TrafficAccount {
	out := make([]pomelo.TrafficAccount, 0, len(p.accounts))
	for _, name := range slices.Sorted(maps.Keys(p.accounts)) {
		out = append(out, p.accounts[name])
	}
	return out
}

// Service returns the service with this name.
func (p *Policy) Service(name string) (pomelo.TrafficService, bool) {
	s, ok := p.services[name]
	return s, ok
}

// KeysRequired reports whether requests on routes that are not open need a key.
func (p *Policy) KeysRequired() bool {
	return p.keysRequired
}
