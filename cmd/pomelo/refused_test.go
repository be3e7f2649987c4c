package main

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Size of TestRefusedRequestsDoNotRun: the soak by hand has four zones, more seeds and longer days.
var (
	siteSeeds    = flag.Int("site_seeds", 1, "how many `seeds` the soak of a site runs")
	siteSeed     = flag.Uint64("site_seed", 1, "the first `seed` of the soak of a site")
	siteSeconds  = flag.Int("site_seconds", 8, "how many `seconds` each seed of the soak of a site takes")
	siteZones    = flag.Int("site_zones", 2, "how many `zones` of four VMs the site has")
	siteStrikes  = flag.Int("site_strikes", 2, "how many `times` in each period a VM or the store fails")
	siteTroubles = flag.String("site_troubles", "", "the `shares` in which responses fail all the time, such as reject=0.45,repeat_late=0.3, instead of changing ones")
	siteInterval = flag.Duration("site_interval", 100*time.Millisecond, "the mean `time` between two requests of a caller")
)

const (
	callersPerVM = 6
	// runsLater is the time in which a refused request may run later.
	runsLater = 2 * time.Second
)

// playSite runs callers and troubles, and returns the broken rules and the answers by status.
func playSite(t *testing.T, seed uint64, strikes int, fixed map[string]float64) ([]string, map[string]int) {
	s := newSite(t, seed, *siteZones, siteGrace)
	defer s.close()
	s.troubles.fixed = fixed
	s.awaitReady()
	end := time.Now().Add(time.Duration(*siteSeconds) * time.Second)
	var callers sync.WaitGroup
	for _, n := range s.nodes {
		for k := range callersPerVM {
			c := &siteCaller{node: n, name: fmt.Sprintf("%s-%d-%d", n.vm, seed, k)}
			callers.Go(func() { c.callUntil(end, *siteInterval) })
		}
	}
	s.runTroubles(end.Add(-time.Second), strikes)
	callers.Wait()
	time.Sleep(runsLater)
	return s.violations()
}

// TestRefusedRequestsDoNotRun guards against REFUSED, TWICE and MIXED at nodes and upstreams that fail in the ways that the platform's pages name.
func TestRefusedRequestsDoNotRun(t *testing.T) {
	play := func(strikes int, troubles string) {
		for k := range uint64(*siteSeeds) {
			violations, tally := playSite(t, *siteSeed+k, strikes, parseTroubles(troubles))
			t.Logf("seed %d: %v", *siteSeed+k, tally)
			convey.So(strings.Join(violations, "\n"), convey.ShouldBeBlank)
			convey.So(tally["status 200"], convey.ShouldBeGreaterThan, 0)
		}
	}
	convey.Convey("No request that may run once runs after a refusal as not run, or twice", t, func() {
		if *siteTroubles != "" {
			play(*siteStrikes, *siteTroubles)
			return
		}
		play(*siteStrikes, "")
		play(0, "reject=0.45,repeat_late=0.3")
	})
}
