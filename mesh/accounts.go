package mesh

import "github.com/pomeloworks/pomelo"

// policyAccounts implements the part of pomelo.Configuration that the rate limiter uses, from the applied policy.
type policyAccounts struct {
	pomelo.Configuration
	source pomelo.PolicySource
}

// Account returns the client account's rate and burst. The rate limiter doesn't look up accounts without a rate, which are not limited.
func (a policyAccounts) Account(name string) (pomelo.ClientAccount, bool) {
	p, ok := a.source.Policy()
	if !ok {
		return pomelo.ClientAccount{}, false
	}
	t, ok := p.Account(name)
	return t.ClientAccount, ok
}

// all returns the rates and bursts of all client accounts.
func (a policyAccounts) all() []pomelo.ClientAccount {
	p, ok := a.source.Policy()
	if !ok {
		return nil
	}
	var out []pomelo.ClientAccount
	for _, t := range p.Accounts() {
		out = append(out, t.ClientAccount)
	}
	return out
}
