package mesh

import "github.com/pomeloworks/pomelo"

// accounts is the part of pomelo.Configuration that the rate limiter asks for, out of the policy in force.
type accounts struct {
	pomelo.Configuration
	knowledge pomelo.PolicySource
}

// Account is the client account's rate and burst; an account without a rate is not limited and never asked for.
func (a accounts) Account(name string) (pomelo.ClientAccount, bool) {
	p, ok := a.knowledge.Policy()
	if !ok {
		return pomelo.ClientAccount{}, false
	}
	t, ok := p.Account(name)
	return t.ClientAccount, ok
}
