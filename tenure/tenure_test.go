package tenure_test

import (
	"testing"

	"github.com/pomeloworks/pomelo/tenure"
	"github.com/smartystreets/goconvey/convey"
)

func TestTenure(t *testing.T) {
	convey.Convey("Given a lease of 6 s that was renewed at 10 s", t, func() {
		k := &tenure.Tenure{}
		convey.So(k.BeginEpoch(1), convey.ShouldBeTrue)
		convey.So(k.Lost(), convey.ShouldBeFalse)
		k.Renewed(10_000, 6_000)
		convey.So(k.Written(10_010), convey.ShouldBeFalse)
		convey.So(k.ExpiresAt(), convey.ShouldEqual, 16_000)

		convey.Convey("a lease that the store no longer has ends the term", func() {
			convey.So(k.Lost(), convey.ShouldBeTrue)
		})
		convey.Convey("a store that returns without the lease does not, if the record is written again in time", func() {
			convey.So(k.BeginEpoch(2), convey.ShouldBeTrue)
			convey.So(k.BeginEpoch(2), convey.ShouldBeFalse)
			convey.So(k.Lost(), convey.ShouldBeFalse)
			k.Renewed(12_000, 6_000)
			convey.So(k.Overdue(14_499), convey.ShouldBeFalse)
			convey.So(k.Written(14_499), convey.ShouldBeFalse)
			convey.So(k.Overdue(20_000), convey.ShouldBeFalse)
		})
		convey.Convey("and does, once, if the record is written too late, also after a second return", func() {
			k.BeginEpoch(2)
			k.Renewed(12_000, 6_000)
			k.BeginEpoch(3)
			convey.So(k.Written(14_500), convey.ShouldBeTrue)
			convey.So(k.Overdue(14_501), convey.ShouldBeFalse)
		})
	})
}
