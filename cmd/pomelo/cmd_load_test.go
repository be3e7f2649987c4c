package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

const smallFleet = `{
  "services": [{"count": 1, "zones": ["a"], "upstream": {"service": "shop", "slots": 20, "connections": 100}}],
  "accounts": [{"name": "growers", "rate": 1000, "burst": 1000}],
  "routes": [{"name": "GET /prices", "service": "shop", "importance": 3, "worth": 1, "timeout_ms": 5000}]
}`

const smallPlan = `{
  "name": "small", "seed": 5, "duration_ms": 300,
  "streams": [{"name": "prices", "account": "growers", "method": "GET", "path": "/prices", "rate": 100, "worth": 1, "timeout_ms": 5000}]
}`

func writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	convey.So(os.WriteFile(path, []byte(text), 0o600), convey.ShouldBeNil)
	return path
}

func TestLoadCommand(t *testing.T) {
	convey.Convey("The load command runs the plan with all three controls and writes reports, a plot and a difference", t, func() {
		fleet, plan := writeFile(t, "fleet.json", smallFleet), writeFile(t, "plan.json", smallPlan)
		picture := filepath.Join(t.TempDir(), "line.png")
		var out, errs bytes.Buffer
		args := []string{"load", "-fleet", fleet, "-plan", plan, "-compare", "-json", "-plot", picture, "-seed", "6"}
		convey.So(run(context.Background(), args, &out, &errs), convey.ShouldEqual, exitOK)
		var reports []pomelo.LoadReport
		convey.So(json.Unmarshal(out.Bytes(), &reports), convey.ShouldBeNil)
		convey.So(reports, convey.ShouldHaveLength, 3)
		for i, control := range []string{pomelo.ControlNone, pomelo.ControlFixed, pomelo.ControlFull} {
			convey.So(reports[i].Control, convey.ShouldEqual, control)
			convey.So(reports[i].Seed, convey.ShouldEqual, 6)
			convey.So(reports[i].Total.Offered, convey.ShouldEqual, reports[0].Total.Offered)
		}
		_, err := os.Stat(picture)
		convey.So(err, convey.ShouldBeNil)
		saved := writeFile(t, "a.json", out.String())
		out.Reset()
		convey.So(run(context.Background(), []string{"load", "-diff", saved, saved}, &out, &errs), convey.ShouldEqual, exitOK)
		convey.So(out.String(), convey.ShouldContainSubstring, "B - A")
	})
	convey.Convey("Invalid arguments are reported with a remedy", t, func() {
		for _, args := range [][]string{{"load"}, {"load", "-plan", "none.json"}, {"load", "-diff", "one.json"}, {"load", "-plan", "../../examples/salida/normal.json", "-fleet", "../../examples/balkonna/fleet.json"}} {
			var out, errs bytes.Buffer
			convey.So(run(context.Background(), args, &out, &errs), convey.ShouldEqual, exitUsage)
			convey.So(errs.String(), convey.ShouldContainSubstring, "bad_command")
		}
	})
}
