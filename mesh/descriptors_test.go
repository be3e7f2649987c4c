package mesh_test

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/mesh"
	"github.com/pomeloworks/pomelo/room"
	"github.com/smartystreets/goconvey/convey"
)

func TestTooFewDescriptors(t *testing.T) {
	convey.Convey("A limit of descriptors that leaves none for some task is refused, with the least that is needed", t, func() {
		_, err := mesh.New(pomelo.HostSettings{MaxDescriptors: room.MinDescriptors - 1}, mesh.Host{})
		convey.So(pomelo.IsKind(err, pomelo.KindBadSettings), convey.ShouldBeTrue)
		convey.So(pomelo.FaultOf(err).Remedy, convey.ShouldContainSubstring, "264")
	})
}
