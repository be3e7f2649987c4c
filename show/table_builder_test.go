package show_test

import (
	"context"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/show"
	"github.com/smartystreets/goconvey/convey"
)

type catalog struct{}

func (catalog) Accounts() []pomelo.ClientAccount {
	return []pomelo.ClientAccount{{Name: "growers", Rate: 100, Burst: 200}}
}

func (catalog) Keys() []pomelo.Key {
	return []pomelo.Key{{ID: "0123456789abcdef0123", Account: "growers", Withdrawn: true}}
}

func (catalog) Routes() []pomelo.Route {
	return []pomelo.Route{{Name: "POST /orders", Service: "shop", Importance: 9, Worth: 5, NonIdempotent: true, Timeout: 2000}, {Name: "GET /x", Service: "lost"}}
}

func (catalog) Objectives() []pomelo.Objective {
	return []pomelo.Objective{{Service: "shop", CompleteShare: 99.9 / 100, Latency: 300, LatencyShare: 0.99}}
}

func (catalog) Stops() []pomelo.Stop {
	return []pomelo.Stop{{VM: "shop-1", At: 1_700_000_000_000}, {VM: "shop-2", At: 1_700_000_000_000, Withdrawn: true}}
}

type members struct{ pomelo.Membership }

func (members) All() []pomelo.Member {
	return []pomelo.Member{{VM: "shop-1", Service: "shop"}, {VM: "shop-2", Service: "shop", Draining: true}, {VM: "calm-1", Service: "calm"}}
}

func collect(context.Context, pomelo.ReportRequest) pomelo.FleetReport {
	unhealthy := pomelo.Health{Service: "shop", UnhealthySince: 1_700_000_000_000, Issues: []pomelo.HealthIssue{{Kind: pomelo.HealthIssueSelfTime, Detail: "48 ms, usually 5 ms"}}}
	return pomelo.FleetReport{
		Reports: []pomelo.Report{{VM: "calm-1", Health: pomelo.Health{Service: "calm"}}, {VM: "shop-1", Health: unhealthy}},
		Counts: []pomelo.OutcomeCount{
			{Service: "shop", Account: "growers", Outcome: "whole", PerWindow: []int64{90}},
			{Service: "shop", Account: "growers", Outcome: "overload", PerWindow: []int64{9}},
			{Service: "shop", Account: "growers", Outcome: "upstream_error", PerWindow: []int64{10}},
			{Service: "shop", Account: "labs", Outcome: "deadline", PerWindow: []int64{1}},
		},
		Unresponsive: []string{"shop-2"},
	}
}

func TestTables(t *testing.T) {
	b := show.New(catalog{}, members{}, collect)
	want := map[pomelo.Show][][]string{
		{Table: "accounts"}:             {{"growers", "100", "200"}},
		{Table: "keys"}:                 {{"0123456789abcdef", "growers", "withdrawn"}},
		{Table: "routes"}:               {{"POST /orders", "shop", "9", "5", "on", "off", "2000"}, {"GET /x", "lost", "0", "0", "off", "off", "0"}},
		{Table: "stops"}:                {{"shop-1", "2023-11-14T22:13:20Z", "planned"}, {"shop-2", "2023-11-14T22:13:20Z", "cancelled"}},
		{Table: "objectives"}:           {{"shop", "99.9", "300", "99"}},
		{Refusals: true}:                {{"growers", "shop", "overload", "9", "8.3%"}, {"labs", "shop", "deadline", "1", "100.0%"}},
		{Refusals: true, By: "account"}: {{"growers", "9", "8.3%"}, {"labs", "1", "100.0%"}},
		{Refusals: true, By: "service"}: {{"shop", "10", "9.1%"}},
		{Refusals: true, By: "kind"}:    {{"overload", "9", "8.2%"}, {"deadline", "1", "0.9%"}},
		{Refusals: true, Last: "10m"}:   {{"growers", "shop", "overload", "9", "8.3%"}, {"labs", "shop", "deadline", "1", "100.0%"}},
		{Services: true, Struggling: true}: {
			{"lost", "0", "0", "-", "-", "-", "-", "no node serves it"},
			{"shop", "2", "110", "81.8%", "9.1%", "9.1%", "2023-11-14T22:13:20Z", "shop-2: node does not answer; shop-1: own_time (48 ms, usually 5 ms)"},
		},
	}
	convey.Convey("Each show command returns its table, and unresponsive nodes are listed", t, func() {
		for s, rows := range want {
			r, err := b.Build(context.Background(), s)
			convey.So(err, convey.ShouldBeNil)
			convey.So(r.Table.Rows, convey.ShouldResemble, rows)
			for _, row := range rows {
				convey.So(len(row), convey.ShouldEqual, len(r.Table.Columns))
			}
			if s.Services || s.Refusals {
				convey.So(r.Unresponsive, convey.ShouldResemble, []string{"shop-2"})
			}
		}
		r, err := b.Build(context.Background(), pomelo.Show{Services: true})
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(r.Table.Rows), convey.ShouldEqual, 3)
	})
}
