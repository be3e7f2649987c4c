package plans_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/plans"
	"github.com/smartystreets/goconvey/convey"
)

const clientAccounts = 8

// demand is the rate of calls that all streams cause at the bottleneck, in calls a second.
func demand(p pomelo.LoadPlan) float64 {
	sum := 0.0
	for _, s := range p.Streams {
		sum += s.Rate * s.BottleneckCalls
	}
	return sum
}

func TestExamples(t *testing.T) {
	l := plans.New()
	for _, d := range []string{"balkonna", "salida"} {
		convey.Convey(d+" has 8 client accounts, marks POST routes as non-idempotent, and its load plans refer only to what the fleet has", t, func() {
			f, err := l.Fleet("../examples/" + d + "/fleet.json")
			convey.So(err, convey.ShouldBeNil)
			convey.So(f.Accounts, convey.ShouldHaveLength, clientAccounts)
			convey.So(f.Limits.Retries, convey.ShouldEqual, pomelo.DefaultLimits().Retries)
			for _, r := range f.Routes {
				convey.So(r.NonIdempotent, convey.ShouldEqual, strings.HasPrefix(r.Name, "POST "))
			}
			files, err := filepath.Glob("../examples/" + d + "/*.json")
			convey.So(err, convey.ShouldBeNil)
			convey.So(files, convey.ShouldHaveLength, 6)
			for _, path := range files {
				if filepath.Base(path) == "fleet.json" {
					continue
				}
				p, err := l.Load(path)
				convey.So(err, convey.ShouldBeNil)
				convey.So(l.CheckReferences(f, p), convey.ShouldBeNil)
				if p.Capacity > 0 {
					convey.So(demand(p)/p.Capacity, convey.ShouldBeBetween, 0.6, 0.8)
				}
			}
		})
	}
}

func TestFaults(t *testing.T) {
	rows := []struct{ name, text, want string }{
		{"not JSON", `{`, "x.json: unexpected EOF"},
		{"unknown field", `{"duraton_ms": 1}`, "unknown field"},
		{"no streams", `{"duration_ms": 1}`, "no streams"},
		{"no duration", `{"streams": [{"method": "GET", "path": "/a"}]}`, "duration_ms"},
		{"no path", `{"duration_ms": 1, "streams": [{"name": "a", "method": "GET"}]}`, `stream "a" needs`},
	}
	convey.Convey("An invalid plan is refused with the file and the field", t, func() {
		for _, r := range rows {
			read := func(string) ([]byte, error) { return []byte(r.text), nil }
			_, err := plans.New(plans.WithReader(read)).Load("x.json")
			convey.So(pomelo.IsKind(err, pomelo.KindBadCommand), convey.ShouldBeTrue)
			convey.So(pomelo.FaultOf(err).Message, convey.ShouldContainSubstring, r.want)
		}
	})
	convey.Convey("A fleet that names an unknown service is refused", t, func() {
		text := `{"services": [{"count": 1, "zones": ["a"], "upstream": {"service": "shop", "slots": 1, "sub_calls": [{"service": "shp"}]}}]}`
		read := func(string) ([]byte, error) { return []byte(text), nil }
		_, err := plans.New(plans.WithReader(read)).Fleet("x.json")
		convey.So(pomelo.FaultOf(err).Message, convey.ShouldContainSubstring, `unknown service "shp"`)
	})
	convey.Convey("A load plan that refers to a route or client account missing in the fleet is refused", t, func() {
		f := pomelo.FleetPlan{Routes: []pomelo.Route{{Name: "GET /a"}}}
		stream := pomelo.LoadStream{Name: "a", Method: "GET", Path: "/b"}
		err := plans.New().CheckReferences(f, pomelo.LoadPlan{Streams: []pomelo.LoadStream{stream}})
		convey.So(pomelo.FaultOf(err).Message, convey.ShouldContainSubstring, "no route")
		stream.Path, stream.Account = "/a", "x"
		err = plans.New().CheckReferences(f, pomelo.LoadPlan{Streams: []pomelo.LoadStream{stream}})
		convey.So(pomelo.FaultOf(err).Message, convey.ShouldContainSubstring, "client account")
	})
}
