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

func checkInvariants(f *fleet.Fleet, total pomelo.LoadSummary) error {
	if total.Mismatched > 0 {
		return invariantViolated(fmt.Sprintf("%d callers got another request's answer", total.Mismatched))
	}
	if float64(total.Complete) < minCompleteShare*float64(total.Offered) {
		return invariantViolated(fmt.Sprintf("only %d of %d requests were answered whole without overload", total.Complete, total.Offered))
	}
	return checkUpstreams(f)
}

func checkUpstreams(f *fleet.Fleet) error {
	executions := map[execution]int{}
	for _, u := range f.Upstreams() {
		for _, e := range u.Events() {
			if e.CallerKeySeen {
				return invariantViolated("an upstream saw a client account's key")
			}
			if e.Kind == pomelo.FakeEventStart && e.Path == "/orders" {
				executions[execution{RootID: e.RootID, Path: e.Path}]++
			}
		}
	}
	for e, n := range executions {
		if n > 1 {
			return invariantViolated(fmt.Sprintf("the order %s ran %d times", e.RootID, n))
		}
	}
	return nil
}

func invariantViolated(message string) error {
	return pomelo.NewFault(pomelo.KindInvariantViolated, message, "report it with the log of the run")
}
