package pool

import (
	"slices"

	"github.com/pomeloworks/pomelo"
)

// Low reports whether it is time to draw ahead of demand.
func (p *Pool) Low(now pomelo.Millis) bool {
	ahead := p.ahead(now)
	return ahead >= 1 && p.Left(now) < ahead/2
}

// TTL is the life in milliseconds to ask for: short where only waiting requests are served.
func (p *Pool) TTL(now pomelo.Millis) pomelo.Millis {
	if p.ahead(now) < 1 {
		return onceTTL
	}
	return min(longestTTL, 2*p.horizon()+onceTTL)
}

// ahead is how many tokens the demand will use up within the horizon.
func (p *Pool) ahead(now pomelo.Millis) float64 {
	return p.demand.rate(now) * float64(p.horizon())
}

func (p *Pool) horizon() pomelo.Millis {
	if p.account.Rate <= 0 {
		return horizon
	}
	return min(horizon, pomelo.Millis(horizonPart*millis*p.account.Burst/p.account.Rate))
}

// Plan says what to ask of whom, so that the waiting requests and the demand ahead are covered; homes names each part's home, empty where it is not known, and parts that have been asked since are left out.
func (p *Pool) Plan(now pomelo.Millis, waiting int, homes []string, since pomelo.Millis) []pomelo.OwnerGrantRequests {
	p.tidy(now)
	need := float64(waiting) - p.Left(now)
	want := need
	if ahead := p.ahead(now); ahead >= 1 {
		want += ahead
	}
	if want <= 1-whole {
		return nil
	}
	if waiting > 0 && !p.allBad(now) && p.expected(now)+p.Left(now) < whole {
		return nil
	}
	return p.spread(now, want, need, homes, since)
}

// spread takes homes by the level expected of them, best first, until they cover what is wanted.
func (p *Pool) spread(now pomelo.Millis, want, need float64, homes []string, since pomelo.Millis) []pomelo.OwnerGrantRequests {
	var out []pomelo.OwnerGrantRequests
	for _, home := range p.order(now, homes, since) {
		if want <= 1-whole {
			break
		}
		d := pomelo.OwnerGrantRequests{Owner: home}
		for i := range homes {
			if homes[i] != home || p.parts[i].asked >= since || want <= 1-whole {
				continue
			}
			n := min(want, p.most(need))
			d.Requests = append(d.Requests, p.ask(now, i, n))
			got := min(n, p.sure(now, i))
			want -= got
			need -= got
		}
		if len(d.Requests) > 0 {
			out = append(out, d)
		}
	}
	return out
}

// most bounds one ask, so that no node takes a part empty ahead of its demand.
func (p *Pool) most(need float64) float64 {
	return max(drawShare*pomelo.ShardOf(p.account).Burst, min(need, pomelo.ShardOf(p.account).Burst), 1)
}

func (p *Pool) ask(now pomelo.Millis, i int, want float64) pomelo.GrantRequest {
	s := &p.parts[i]
	a := pomelo.GrantRequest{Account: p.account.Name, Shard: i, Shards: len(p.parts), Tokens: want, TTL: p.TTL(now), Used: s.report()}
	if want > 0 {
		s.asked = now
	}
	return a
}

// order lists the homes that may be asked, the one that is expected to have most first.
func (p *Pool) order(now pomelo.Millis, homes []string, since pomelo.Millis) []string {
	levels := p.levels(now, homes, since, false)
	if len(levels) == 0 {
		levels = p.levels(now, homes, since, true)
	}
	var out []string
	for h := range levels {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b string) int {
		if levels[a] != levels[b] {
			return less(levels[a] > levels[b])
		}
		return less(a < b)
	})
	return out
}

// levels sums up by home; bad parts are left out unless there are no others.
func (p *Pool) levels(now pomelo.Millis, homes []string, since pomelo.Millis, bad bool) map[string]float64 {
	out := map[string]float64{}
	for i, h := range homes {
		if h == "" || p.parts[i].asked >= since || !bad && now < p.parts[i].badUntil {
			continue
		}
		out[h] += p.sure(now, i)
	}
	return out
}

func less(before bool) int {
	if before {
		return -1
	}
	return 1
}

func (p *Pool) allBad(now pomelo.Millis) bool {
	for i := range p.parts {
		if now >= p.parts[i].badUntil {
			return false
		}
	}
	return true
}

// expected is how many tokens all homes together may have by now.
func (p *Pool) expected(now pomelo.Millis) float64 {
	n := 0.0
	for i := range p.parts {
		if now >= p.parts[i].badUntil {
			n += p.levelOf(now, i)
		}
	}
	return n
}

func (p *Pool) levelOf(now pomelo.Millis, i int) float64 {
	of := pomelo.ShardOf(p.account)
	s := &p.parts[i]
	return min(of.Burst, s.level+of.Rate*float64(now-s.at)/millis)
}

// sure is the level without what others may have drawn in the meantime.
func (p *Pool) sure(now pomelo.Millis, i int) float64 {
	if now < p.parts[i].badUntil {
		return 0
	}
	of := pomelo.ShardOf(p.account)
	s := &p.parts[i]
	return min(of.Burst, s.level+othersShare*of.Rate*float64(now-s.at)/millis)
}

// Wait is how long it takes, in milliseconds, until the homes may have the tokens of one request.
func (p *Pool) Wait(now pomelo.Millis) pomelo.Millis {
	if p.account.Rate <= 0 {
		return longestTTL
	}
	missing := 1 - p.Left(now) - p.expected(now)
	return max(againAfter, pomelo.Millis(missing*millis/p.account.Rate)+1)
}

// Returns are reports to homes that need the room again soon: of grants that end, and of much use.
func (p *Pool) Returns(now pomelo.Millis, homes []string) []pomelo.OwnerGrantRequests {
	p.tidy(now)
	var out []pomelo.OwnerGrantRequests
	for i := range p.parts {
		if homes[i] == "" || !p.parts[i].isDue(reportShare*pomelo.ShardOf(p.account).Burst) {
			continue
		}
		out = add(out, homes[i], p.ask(now, i, 0))
	}
	return out
}

func add(draws []pomelo.OwnerGrantRequests, home string, a pomelo.GrantRequest) []pomelo.OwnerGrantRequests {
	for i := range draws {
		if draws[i].Owner == home {
			draws[i].Requests = append(draws[i].Requests, a)
			return draws
		}
	}
	return append(draws, pomelo.OwnerGrantRequests{Owner: home, Requests: []pomelo.GrantRequest{a}})
}

// tidy ends grants that are used up or end soon; they are never used after, and reported as done.
func (p *Pool) tidy(now pomelo.Millis) {
	for i := range p.parts {
		s := &p.parts[i]
		kept := s.holds[:0]
		for _, h := range s.holds {
			if h.tokens-h.used >= dust && now < h.until-closeAhead {
				kept = append(kept, h)
				continue
			}
			s.reports = append(s.reports, pomelo.GrantUsage{ID: h.id, Used: h.used, Finished: true})
			if now < h.until-onceTTL || h.tokens-h.used > dust {
				s.due += h.tokens - h.reported
			}
		}
		s.holds = kept
		if len(s.reports) > reportsKept {
			s.reports = s.reports[len(s.reports)-reportsKept:]
		}
	}
}

// isDue reports whether at least much tokens wait to be reported.
func (s *partState) isDue(much float64) bool {
	n := s.due
	for _, h := range s.holds {
		n += h.used - h.reported
	}
	return n > 0 && n >= much
}

// report is what to tell the home along with the next ask.
func (s *partState) report() []pomelo.GrantUsage {
	out := s.reports
	s.reports = nil
	s.due = 0
	for i := range s.holds {
		h := &s.holds[i]
		if h.used > h.reported {
			h.reported = h.used
			out = append(out, pomelo.GrantUsage{ID: h.id, Used: h.used})
		}
	}
	return out
}

// reportsKept bounds the reports that wait for the next ask of a part; older grants expire at their home.
const reportsKept = 16
