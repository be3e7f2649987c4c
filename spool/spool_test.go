package spool_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/spool"
	"github.com/smartystreets/goconvey/convey"
)

const lineCount = 5_000

func line(n int) string {
	return fmt.Sprintf("ts=x level=info event=request_refused request=%d\n", n)
}

func TestSpool(t *testing.T) {
	convey.Convey("A reader that has stopped does not block writers, and memory stays bounded", t, func() {
		r, w := io.Pipe()
		defer func() { _ = r.Close() }()
		k := clock.New(clock.WithManual(1))
		s := spool.New(w, k, spool.WithBounds(1_000, 1_000_000, 1_000_000))
		go s.Flush()
		for n := range lineCount {
			got, err := s.Write([]byte(line(n)))
			convey.So(err, convey.ShouldBeNil)
			convey.So(got, convey.ShouldEqual, len(line(n)))
		}
	})

	convey.Convey("Dropped lines are counted by event and reported", t, func() {
		var out bytes.Buffer
		k := clock.New(clock.WithManual(pomelo.Millis(10_000)))
		s := spool.New(&out, k, spool.WithBounds(1_000, 100, 200))
		for n := range lineCount {
			_, _ = s.Write([]byte(line(n)))
		}
		s.Flush()
		written := strings.Count(out.String(), "event=request_refused")
		convey.So(written, convey.ShouldBeGreaterThan, 0)
		convey.So(out.String(), convey.ShouldContainSubstring, fmt.Sprintf("event=log_lines_dropped of=request_refused count=%d", lineCount-written))
	})

	convey.Convey("Lines within the limits are written unchanged and in order", t, func() {
		var out bytes.Buffer
		k := clock.New(clock.WithManual(1))
		s := spool.New(&out, k)
		var want strings.Builder
		for n := range 100 {
			_, _ = s.Write([]byte(line(n)))
			want.WriteString(line(n))
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.Run(ctx)
		s.Flush()
		convey.So(out.String(), convey.ShouldEqual, want.String())
	})
}
