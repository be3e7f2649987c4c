package logs_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/logs"
	"github.com/smartystreets/goconvey/convey"
)

type fixedClock struct{}

func (fixedClock) Now() pomelo.Millis { return 1_700_000_000_123 }

func (fixedClock) Sleep(context.Context, pomelo.Millis) error { return nil }

func TestLogger(t *testing.T) {
	const stamp = "ts=2023-11-14T22:13:20.123Z "
	var out bytes.Buffer
	convey.Convey("An event is one line with time, level, event, fields and pairs", t, func() {
		out.Reset()
		l := logs.New(&out, logs.WithClock(fixedClock{}), logs.WithFields("vm", "a"))
		l.Info("started", "slots", 50)
		convey.So(out.String(), convey.ShouldEqual, stamp+"level=info event=started vm=a slots=50\n")
	})
	convey.Convey("Values with spaces, quotes and newlines stay on one line", t, func() {
		out.Reset()
		l := logs.New(&out, logs.WithClock(fixedClock{}))
		l.Warn("bad\nevent", "k", "a b\r\nlevel=info \"x\"")
		convey.So(out.String(), convey.ShouldEqual, stamp+`level=warn event="bad\nevent" k="a b\r\nlevel=info \"x\""`+"\n")
	})
	convey.Convey("Lines below the minimum level are omitted", t, func() {
		for name, want := range map[string]int{"debug": 3, "info": 2, "warn": 1, "loud": 2} {
			out.Reset()
			l := logs.New(&out, logs.WithLevel(name))
			l.Debug("d")
			l.Info("i")
			l.Warn("w")
			convey.So(bytes.Count(out.Bytes(), []byte("\n")), convey.ShouldEqual, want)
		}
	})
}
