package pick_test

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/pick"
	"github.com/smartystreets/goconvey/convey"
)

const picks = 1000

func members() []pomelo.Member {
	return []pomelo.Member{
		{VM: "near-1", AvailabilityZone: "one", Slots: 10},
		{VM: "near-2", AvailabilityZone: "one", Slots: 10},
		{VM: "far-1", AvailabilityZone: "two", Slots: 10},
	}
}

// share picks many times, answers each after the member's time, and returns the share that one VM got.
func share(c *clock.Clock, p *pick.Picker, times map[string]pomelo.Millis, vm string) float64 {
	n := 0
	for range picks {
		m, _ := p.Pick(pomelo.Call{}, members(), nil)
		p.Sent(m)
		c.Advance(1)
		p.Done(m, pomelo.Call{}, times[m.VM], pomelo.Answer{})
		if m.VM == vm {
			n++
		}
	}
	return float64(n) / picks
}

// tell has one member answer once.
func tell(p *pick.Picker, m pomelo.Member, a pomelo.Answer) {
	p.Sent(m)
	p.Done(m, pomelo.Call{}, 5, a)
}

func refused(kind pomelo.Kind, ran pomelo.Ran) pomelo.Answer {
	return pomelo.Answer{Refusal: &pomelo.Fault{Kind: kind, Ran: ran}}
}

func TestZones(t *testing.T) {
	convey.Convey("Given a picker in zone one, whose neighbours answer in 5 ms and the other zone in 7", t, func() {
		c := clock.New(clock.WithManual(1_000))
		p := pick.New(c, 1, pick.WithAvailabilityZone("one"))
		usual := map[string]pomelo.Millis{"near-1": 5, "near-2": 5, "far-1": 7}
		convey.Convey("Calls stay in the zone, spread over its members", func() {
			convey.So(share(c, p, usual, "far-1"), convey.ShouldBeLessThan, 0.02)
			convey.So(share(c, p, usual, "near-1"), convey.ShouldBeBetween, 0.3, 0.7)
		})
		convey.Convey("They cross when the zone has become slower than that, and come back afterwards", func() {
			share(c, p, usual, "far-1")
			slow := map[string]pomelo.Millis{"near-1": 50, "near-2": 50, "far-1": 7}
			convey.So(share(c, p, slow, "far-1"), convey.ShouldBeGreaterThan, 0.8)
			share(c, p, usual, "far-1")
			c.Advance(10_000)
			share(c, p, usual, "far-1")
			convey.So(share(c, p, usual, "far-1"), convey.ShouldBeLessThan, 0.2)
		})
		convey.Convey("A slow neighbour gets little", func() {
			share(c, p, map[string]pomelo.Millis{"near-1": 50, "near-2": 5, "far-1": 7}, "near-1")
			convey.So(share(c, p, map[string]pomelo.Millis{"near-1": 50, "near-2": 5, "far-1": 7}, "near-1"), convey.ShouldBeLessThan, 0.35)
		})
	})
}

func TestAvoidance(t *testing.T) {
	convey.Convey("Given three members", t, func() {
		c := clock.New(clock.WithManual(1_000))
		p := pick.New(c, 1)
		all := members()
		usual := map[string]pomelo.Millis{"near-1": 5, "near-2": 5, "far-1": 5}
		convey.Convey("One that marks an answer as draining gets nothing more, until it comes back as another incarnation", func() {
			tell(p, all[0], pomelo.Answer{Draining: true})
			convey.So(share(c, p, usual, "near-1"), convey.ShouldEqual, 0)
			again := all[0]
			again.Incarnation = "2"
			m, ok := p.Pick(pomelo.Call{}, []pomelo.Member{again}, nil)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(m.Incarnation, convey.ShouldEqual, "2")
		})
		convey.Convey("One that fails is avoided for a while, and longer when it fails again", func() {
			tell(p, all[0], refused(pomelo.KindPeerLost, pomelo.RanUnknown))
			convey.So(away(c, p), convey.ShouldBeBetweenOrEqual, 100, 310)
			for range 5 {
				tell(p, all[0], refused(pomelo.KindUpstreamFailed, pomelo.RanYes))
			}
			convey.So(away(c, p), convey.ShouldBeGreaterThan, 3_000)
		})
		convey.Convey("One that refuses for overload is avoided for a short while", func() {
			tell(p, all[0], refused(pomelo.KindOverload, pomelo.RanNo))
			convey.So(away(c, p), convey.ShouldBeBetweenOrEqual, 25, 85)
		})
		convey.Convey("When all are to be avoided, they are used all the same; tried ones never", func() {
			for _, m := range all {
				tell(p, m, refused(pomelo.KindPeerLost, pomelo.RanNo))
			}
			_, ok := p.Pick(pomelo.Call{}, all, nil)
			convey.So(ok, convey.ShouldBeTrue)
			_, ok = p.Pick(pomelo.Call{}, all, []string{"near-1", "near-2", "far-1"})
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}

// away is how long, in milliseconds, the first member is not picked.
func away(c *clock.Clock, p *pick.Picker) pomelo.Millis {
	start := c.Now()
	for c.Now() < start+60_000 {
		for range 10 {
			if m, _ := p.Pick(pomelo.Call{}, members(), nil); m.VM == "near-1" {
				return c.Now() - start
			}
		}
		c.Advance(1)
	}
	return c.Now() - start
}
