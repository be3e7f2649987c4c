package mesh

import "github.com/pomeloworks/pomelo"

// policyServices looks services up in the applied policy.
type policyServices struct {
	source pomelo.PolicySource
}

// Service returns the service with this name; false before a policy has been read.
func (s policyServices) Service(name string) (pomelo.TrafficService, bool) {
	p, ok := s.source.Policy()
	if !ok {
		return pomelo.TrafficService{}, false
	}
	return p.Service(name)
}
