package intake

import (
	"slices"

	"github.com/pomeloworks/pomelo"
)

// regionsOf returns the regions in which the call may run: those of its route and of its account, where they have a list. A sub-call is bound by the account of its root request, whose data it carries.
func regionsOf(c pomelo.Call, route pomelo.TrafficRoute, p pomelo.Policy) []string {
	regions := restrict(nil, route.Regions)
	if a, ok := p.Account(c.FairShareAccount); ok {
		regions = restrict(regions, a.Regions)
	}
	return regions
}

// restrict returns the regions that both lists have; nil and an empty further list allow all. Without a common region the result is empty, but not nil.
func restrict(regions, further []string) []string {
	if len(further) == 0 {
		return regions
	}
	if regions == nil {
		return further
	}
	common := []string{}
	for _, r := range regions {
		if slices.Contains(further, r) {
			common = append(common, r)
		}
	}
	return common
}
