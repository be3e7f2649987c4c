package load

import "github.com/pomeloworks/pomelo"

// accounts sums the streams by client account, in the order of the plan.
func accounts(streams []*streamStats) []pomelo.LoadAccount {
	var found []pomelo.LoadAccount
	index := map[string]int{}
	for _, t := range streams {
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

func addAccount(a *pomelo.LoadAccount, t *streamStats) {
	a.Offered += t.summary.Offered
	a.Complete += t.summary.Complete
	a.WithinRate += t.account.WithinRate
	a.WithinRateComplete += t.account.WithinRateComplete
	a.WithinRateShed += t.account.WithinRateShed
	a.WithinRateLimited += t.account.WithinRateLimited
}

// worstAccount returns the account with the lowest share of complete answers, of the requests within its rate if the rate is known.
func worstAccount(accounts []pomelo.LoadAccount) (string, float64) {
	name, lowest := "", 1.0
	for _, a := range accounts {
		s, n := a.WithinRateCompleteShare, a.WithinRate
		if n == 0 {
			s, n = a.CompleteShare, a.Offered
		}
		if a.Name != "" && n > 0 && (name == "" || s < lowest) {
			name, lowest = a.Name, s
		}
	}
	return name, lowest
}

func ratio(part, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}
