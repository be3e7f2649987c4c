package pomelo_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func TestFaultOf(t *testing.T) {
	convey.Convey("FaultOf unwraps a fault, and converts any other error to an internal fault with an unknown outcome", t, func() {
		f := pomelo.NewFault(pomelo.KindNoKey, "the request carries no key", "send a key in Pomelo-Key")
		convey.So(pomelo.FaultOf(errors.Wrap(f, "entry")), convey.ShouldEqual, f)
		convey.So(f.Error(), convey.ShouldContainSubstring, "send a key")
		other := pomelo.FaultOf(errors.New("boom"))
		convey.So(other.Kind, convey.ShouldEqual, pomelo.KindInternal)
		convey.So(other.Ran, convey.ShouldEqual, pomelo.RanUnknown)
	})
}
