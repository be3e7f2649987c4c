package gate

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func TestStall(t *testing.T) {
	cases := []struct {
		name    string
		stalled pomelo.Millis
		ahead   int
		allowed int
		wait    pomelo.Millis
	}{
		{"a stall of all 20 running calls delays the next 20 calls together by its length", 900, 7, 20, 360},
		{"a stall of the only running call delays each waiting call by its length", 900, 2, 1, 2_700},
		{"no stall", 10, 7, 20, 4},
	}
	for _, c := range cases {
		convey.Convey("The length of a stall is spread over the allowed calls: "+c.name, t, func() {
			e := estimator{duration: 10, selfTime: 10, lastEnd: 1_000}
			convey.So(e.expectedWait(1_000+c.stalled, c.ahead, c.allowed, c.allowed), convey.ShouldEqual, c.wait)
		})
	}
}
