package rank_test

import (
	"fmt"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/rank"
	"github.com/smartystreets/goconvey/convey"
)

func TestRank(t *testing.T) {
	convey.Convey("Every service orders the same roots the same way", t, func() {
		for i := range 100 {
			a := pomelo.Call{RootID: fmt.Sprint("a", i), Service: "shop", ID: "1"}
			b := pomelo.Call{RootID: fmt.Sprint("b", i), Service: "shop", ID: "2"}
			isLower := rank.Of(a).Order < rank.Of(b).Order
			a.Depth, b.Depth = 5, 5
			convey.So(rank.Of(a).Order < rank.Of(b).Order, convey.ShouldEqual, isLower)
			convey.So(rank.Of(a).Position() < rank.Of(b).Position(), convey.ShouldEqual, isLower)
		}
	})
	convey.Convey("Sub-calls rank above root calls, and above less deep calls of the same root", t, func() {
		root := rank.Of(pomelo.Call{RootID: "a"})
		for i := range 100 {
			sub := rank.Of(pomelo.Call{RootID: fmt.Sprint(i), Depth: 1})
			deeper := rank.Of(pomelo.Call{RootID: fmt.Sprint(i), Depth: 2})
			convey.So(sub.Order, convey.ShouldBeGreaterThan, root.Order)
			convey.So(deeper.Order, convey.ShouldBeGreaterThan, sub.Order)
		}
	})
	convey.Convey("Positions lie within their importance level", t, func() {
		for i := range 100 {
			p := rank.Of(pomelo.Call{RootID: fmt.Sprint(i), Importance: 3}).Position()
			convey.So(p, convey.ShouldBeBetweenOrEqual, 0.3, 0.4)
		}
		convey.So(rank.Of(pomelo.Call{Importance: 99}).Importance, convey.ShouldEqual, 9)
		convey.So(rank.Of(pomelo.Call{Importance: -1}).Importance, convey.ShouldEqual, 0)
	})
}
