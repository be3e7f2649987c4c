package pomelo_test

import (
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func TestIsAddress(t *testing.T) {
	convey.Convey("An address has a host and a port from 1 to 65535", t, func() {
		for _, text := range []string{"10.0.0.1:1", "10.0.0.1:65535", "[::1]:80", "localhost:7000"} {
			convey.So(pomelo.IsAddress(text), convey.ShouldBeTrue)
		}
		for _, text := range []string{"", ":", "10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:http", "10.0.0.1:99999999999999999999", "::1:80"} {
			convey.So(pomelo.IsAddress(text), convey.ShouldBeFalse)
		}
	})
}
