package figure_test

import (
	"bytes"
	"fmt"
	"image/png"
	"os"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/figure"
	"github.com/smartystreets/goconvey/convey"
)

// pictureVariable is the environment variable with the path prefix of the files that the test writes its charts to, for inspection.
const pictureVariable = "POMELO_TEST_PICTURE"

func goal(rates ...float64) pomelo.BurnGoal {
	var g pomelo.BurnGoal
	for _, r := range rates {
		g.Windows = append(g.Windows, pomelo.BurnWindow{Calls: 100, Rate: r})
	}
	return g
}

func sample(n int) pomelo.BurnReport {
	r := pomelo.BurnReport{At: 1_700_000_000_000}
	for i := range n {
		v := float64(i)
		r.Services = append(r.Services, pomelo.BurnService{
			Objective: pomelo.Objective{Service: fmt.Sprintf("service-%d", i)},
			Complete:  goal(v*v*3, v*2, v),
			Latency:   goal(0, 0.5, v/3),
		})
	}
	return r
}

func TestPicture(t *testing.T) {
	convey.Convey("The chart has the same width for any number of services", t, func() {
		for _, n := range []int{0, 1, 4, 40} {
			var out bytes.Buffer
			convey.So(figure.New(sample(n)).WritePNG(&out), convey.ShouldBeNil)
			if path := os.Getenv(pictureVariable); path != "" {
				convey.So(os.WriteFile(fmt.Sprintf("%s-%d.png", path, n), out.Bytes(), 0o600), convey.ShouldBeNil)
			}
			image, err := png.Decode(&out)
			convey.So(err, convey.ShouldBeNil)
			convey.So(image.Bounds().Dx(), convey.ShouldBeGreaterThan, 900)
		}
	})
}
