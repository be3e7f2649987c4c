package demo

import "github.com/pomeloworks/pomelo"

func plan() pomelo.FleetPlan {
	zones := []string{"sofia-1", "sofia-2", "sofia-3"}
	return pomelo.FleetPlan{
		Services: []pomelo.FleetService{
			{Upstream: shop(), Count: upstreamsPerService, Zones: zones},
			{Upstream: sensors(), Count: upstreamsPerService, Zones: zones},
		},
		Accounts: []pomelo.ClientAccount{{Name: accountName, Rate: 1000, Burst: 1000}},
		Routes: []pomelo.Route{
			{Name: "POST /orders", Service: "shop", Importance: 9, Worth: 5, NonIdempotent: true, Timeout: 2000},
			{Name: "GET /history", Service: "shop", Importance: 3, Worth: 1, Timeout: 2000},
		},
		Limits: pomelo.DefaultLimits(),
	}
}

func shop() pomelo.FakeUpstream {
	readings := []pomelo.FakeSubCall{{Service: "sensors", Method: "GET", Path: "/readings", Count: 1}}
	return pomelo.FakeUpstream{
		Service:     "shop",
		Slots:       50,
		Connections: 400,
		ServiceTime: 5,
		Jitter:      pomelo.FakeJitterExponential,
		JitterShare: 0.5,
		Routes: []pomelo.FakeRoute{
			{Path: "/orders", ServiceTime: 5, SubCalls: readings},
			{Path: "/history", ServiceTime: 3, SubCalls: readings},
			{Path: "/prices", ServiceTime: 1},
		},
	}
}

func sensors() pomelo.FakeUpstream {
	prices := []pomelo.FakeSubCall{{Service: "shop", Method: "GET", Path: "/prices", Count: 1}}
	return pomelo.FakeUpstream{
		Service:     "sensors",
		Slots:       25,
		Connections: 250,
		ServiceTime: 4,
		Jitter:      pomelo.FakeJitterExponential,
		JitterShare: 0.5,
		Routes:      []pomelo.FakeRoute{{Path: "/readings", ServiceTime: 4, SubCalls: prices}},
	}
}
