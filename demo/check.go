package demo

import (
	"fmt"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/fleet"
)

type execution struct {
	RootID string
	Path   string
}

func check(f *fleet.Fleet, total pomelo.LoadSummary) error {
	if total.Mismatched > 0 {
		return broken(fmt.Sprintf("%d callers got another request's answer", total.Mismatched))
	}
	if float64(total.Complete) < leastWholeShare*float64(total.Offered) {
		return broken(fmt.Sprintf("only %d of %d requests were answered whole without overload", total.Complete, total.Offered))
	}
	return checkUpstreams(f)
}

func checkUpstreams(f *fleet.Fleet) error {
	runs := map[execution]int{}
	for _, u := range f.Upstreams() {
		for _, e := range u.Events() {
			if e.CallerKeySeen {
				return broken("an upstream saw a client account's key")
			}
			if e.Kind == pomelo.FakeEventStart && e.Path == "/orders" {
				runs[execution{RootID: e.RootID, Path: e.Path}]++
			}
		}
	}
	for e, n := range runs {
		if n > 1 {
			return broken(fmt.Sprintf("the order %s ran %d times", e.RootID, n))
		}
	}
	return nil
}

func broken(message string) error {
	return pomelo.NewFault(pomelo.KindInvariantViolated, message, "report it with the log of the run")
}
