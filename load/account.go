package load

import "github.com/pomeloworks/pomelo"

// accounts adds the streams up by client account, in the order of the plan.
func accounts(tallies []*tally) []pomelo.LoadAccount {
	var found []pomelo.LoadAccount
	index := map[string]int{}
	for _, t := range tallies {
		i, ok := index[t.stream.Account]
		if !ok {
			i = len(found)
			index[t.stream.Account] = i
			found = append(found, pomelo.LoadAccount{Name: t.stream.Account})
		}
		addAccount(&found[i], t)
	}
	for i := range found {
		found[i].CompleteShare = ratio(found[i].Complete, found[i].Offered)
		found[i].WithinRateCompleteShare = ratio(found[i].WithinRateComplete, found[i].WithinRate)
	}
	return found
}

func addAccount(a *pomelo.LoadAccount, t *tally) {
	a.Offered += t.summary.Offered
	a.Complete += t.summary.Complete
	a.WithinRate += t.account.WithinRate
	a.WithinRateComplete += t.account.WithinRateComplete
	a.WithinRateShed += t.account.WithinRateShed
	a.WithinRateLimited += t.account.WithinRateLimited
}

// worst finds the account with the least share of whole answers, of the requests inside its rate where that is known.
func worst(accounts []pomelo.LoadAccount) (string, float64) {
	name, least := "", 1.0
	for _, a := range accounts {
		s, n := a.WithinRateCompleteShare, a.WithinRate
		if n == 0 {
			s, n = a.CompleteShare, a.Offered
		}
		if a.Name != "" && n > 0 && (name == "" || s < least) {
			name, least = a.Name, s
		}
	}
	return name, least
}

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
