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

// share sends picks calls, answers each after its member's response time, and returns the share that one VM got.
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

// complete sends one call to the member and completes it with the answer.
func complete(p *pick.Picker, m pomelo.Member, a pomelo.Answer) {
	p.Sent(m)
	p.Done(m, pomelo.Call{}, 5, a)
}

func refusal(kind pomelo.Kind, ran pomelo.Ran) pomelo.Answer {
	return pomelo.Answer{Refusal: &pomelo.Fault{Kind: kind, Ran: ran}}
}

func TestZones(t *testing.T) {
	convey.Convey("Given a picker in zone one, where members answer in 5 ms, and 7 ms in the other zone", t, func() {
		c := clock.New(clock.WithManual(1_000))
		p := pick.New(c, 1, pick.WithAvailabilityZone("one"))
		normal := map[string]pomelo.Millis{"near-1": 5, "near-2": 5, "far-1": 7}
		convey.Convey("Calls stay in the zone, spread over its members", func() {
			convey.So(share(c, p, normal, "far-1"), convey.ShouldBeLessThan, 0.02)
			convey.So(share(c, p, normal, "near-1"), convey.ShouldBeBetween, 0.3, 0.7)
		})
		convey.Convey("Calls leave the zone when its members become slower than the other zone, and return when they recover", func() {
			share(c, p, normal, "far-1")
			slow := map[string]pomelo.Millis{"near-1": 50, "near-2": 50, "far-1": 7}
			convey.So(share(c, p, slow, "far-1"), convey.ShouldBeGreaterThan, 0.8)
			share(c, p, normal, "far-1")
			c.Advance(10_000)
			share(c, p, normal, "far-1")
			convey.So(share(c, p, normal, "far-1"), convey.ShouldBeLessThan, 0.2)
		})
		convey.Convey("A slow member of the zone gets few calls", func() {
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
		normal := map[string]pomelo.Millis{"near-1": 5, "near-2": 5, "far-1": 5}
		convey.Convey("A draining member gets no calls until it is replaced by another incarnation", func() {
			complete(p, all[0], pomelo.Answer{Draining: true})
			convey.So(share(c, p, normal, "near-1"), convey.ShouldEqual, 0)
			replacement := all[0]
			replacement.Incarnation = "2"
			m, ok := p.Pick(pomelo.Call{}, []pomelo.Member{replacement}, nil)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(m.Incarnation, convey.ShouldEqual, "2")
		})
		convey.Convey("A member that fails is avoided for a while, and longer with each failure", func() {
			complete(p, all[0], refusal(pomelo.KindPeerLost, pomelo.RanUnknown))
			convey.So(avoidedFor(c, p), convey.ShouldBeBetweenOrEqual, 100, 310)
			for range 5 {
				complete(p, all[0], refusal(pomelo.KindUpstreamFailed, pomelo.RanYes))
			}
			convey.So(avoidedFor(c, p), convey.ShouldBeGreaterThan, 3_000)
		})
		convey.Convey("A member that sheds is avoided for a short while", func() {
			complete(p, all[0], refusal(pomelo.KindOverload, pomelo.RanNo))
			convey.So(avoidedFor(c, p), convey.ShouldBeBetweenOrEqual, 25, 85)
		})
		convey.Convey("When all members are to be avoided they are used nevertheless; tried members never are", func() {
			for _, m := range all {
				complete(p, m, refusal(pomelo.KindPeerLost, pomelo.RanNo))
			}
			_, ok := p.Pick(pomelo.Call{}, all, nil)
			convey.So(ok, convey.ShouldBeTrue)
			_, ok = p.Pick(pomelo.Call{}, all, []string{"near-1", "near-2", "far-1"})
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}

// avoidedFor returns how long, in milliseconds, the first member is not picked.
func avoidedFor(c *clock.Clock, p *pick.Picker) pomelo.Millis {
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
