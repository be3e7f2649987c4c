package chart

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

const door = `; a door
[chart]
initial = closed
events = open, close

[closed]
open = opened
close = ignore

[opened]
open = ignore
close = closed
`

func TestRefusedCharts(t *testing.T) {
	cases := []struct{ name, text, place, message string }{
		{"unknown initial state", "[chart]\ninitial = x\nevents = a\n[s]\na = ignore\n", "f.ini:2: ", "unknown"},
		{"no events", "[chart]\ninitial = s\n[s]\n", "f.ini:1: ", "no events"},
		{"unknown state", "[chart]\ninitial = s\nevents = a\n[s]\na = t\n", "f.ini:5: ", `"t" is unknown`},
		{"unknown event", "[chart]\ninitial = s\nevents = a\n[s]\na = ignore\nb = s\n", "f.ini:6: ", `"b" is unknown`},
		{"missing transition", "[chart]\ninitial = s\nevents = a, b\n\n[s]\na = ignore\n", "f.ini:5: ", `what "b" does`},
		{"unreachable state", "[chart]\ninitial = s\nevents = a\n[s]\na = ignore\n[t]\na = s\n", "f.ini:6: ", "can't be reached"},
		{"state twice", "[chart]\ninitial = s\nevents = a\n[s]\na = ignore\n[s]\na = s\n", "f.ini:6: ", "stands twice"},
		{"transition twice", "[chart]\ninitial = s\nevents = a\n[s]\na = ignore\na = s\n", "f.ini:6: ", "stands twice"},
		{"not INI", "[chart\n", "f.ini:1: ", "can't be read"},
	}
	for _, c := range cases {
		convey.Convey("An invalid chart is refused with its position and a remedy: "+c.name, t, func() {
			_, err := Load("f.ini", []byte(c.text))
			convey.So(pomelo.IsKind(err, pomelo.KindBadSettings), convey.ShouldBeTrue)
			convey.So(pomelo.FaultOf(err).Message, convey.ShouldStartWith, c.place)
			convey.So(pomelo.FaultOf(err).Message, convey.ShouldContainSubstring, c.message)
			convey.So(pomelo.FaultOf(err).Remedy, convey.ShouldNotBeBlank)
		})
	}
}

func TestMachine(t *testing.T) {
	convey.Convey("A machine follows its chart and reports only changes of state", t, func() {
		c, err := Load("door.ini", []byte(door))
		convey.So(err, convey.ShouldBeNil)
		var changes []string
		m := c.NewMachine(func(from, to string) { changes = append(changes, from+">"+to) })
		for _, e := range []string{"close", "open", "open", "close"} {
			convey.So(m.Fire(e), convey.ShouldBeNil)
		}
		convey.So(changes, convey.ShouldResemble, []string{"closed>opened", "opened>closed"})
		convey.So(m.Fire("burn"), convey.ShouldNotBeNil)
	})
}
