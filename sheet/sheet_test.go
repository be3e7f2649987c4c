package sheet_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/sheet"
	"github.com/smartystreets/goconvey/convey"
)

func report(control string, complete int64, recovery pomelo.Millis) pomelo.LoadReport {
	p := pomelo.LoadReport{Control: control, Recoveries: []pomelo.LoadRecovery{{Name: "slow", Recovery: recovery}}}
	p.Total.Complete = complete
	return p
}

// line returns the words of the line that begins with the measure.
func line(text, measure string) []string {
	for _, l := range strings.Split(text, "\n") {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(l), measure); ok {
			return strings.Fields(rest)
		}
	}
	return nil
}

func TestTables(t *testing.T) {
	none, full := report(pomelo.ControlNone, 10, -1), report(pomelo.ControlFull, 30, 1500)
	convey.Convey("Each run is a column, and a missing measure is a dash", t, func() {
		var b bytes.Buffer
		convey.So(sheet.New(&b).Compare([]pomelo.LoadReport{none, full}), convey.ShouldBeNil)
		convey.So(line(b.String(), "measure"), convey.ShouldResemble, []string{"none", "full"})
		convey.So(line(b.String(), "whole answers"), convey.ShouldResemble, []string{"10", "30"})
		convey.So(line(b.String(), "slow: recovery s (-: not by the end)"), convey.ShouldResemble, []string{"-", "1.500"})
		convey.So(line(b.String(), "executions"), convey.ShouldResemble, []string{"-", "-"})
	})
	convey.Convey("A difference is the second value minus the first", t, func() {
		var b bytes.Buffer
		convey.So(sheet.New(&b).Diff(none, full), convey.ShouldBeNil)
		convey.So(line(b.String(), "whole answers"), convey.ShouldResemble, []string{"10", "30", "20"})
		convey.So(line(b.String(), "slow: recovery s (-: not by the end)"), convey.ShouldResemble, []string{"-", "1.500", "-"})
	})
}
