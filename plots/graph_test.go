package plots_test

import (
	"image/png"
	"os"
	"path/filepath"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/plots"
	"github.com/smartystreets/goconvey/convey"
)

func TestSave(t *testing.T) {
	convey.Convey("Each report has a panel of the same height", t, func() {
		r := pomelo.LoadReport{Duration: 2000, Recoveries: []pomelo.LoadRecovery{{Name: "slow", From: 500, To: 900, Recovery: -1}}}
		r.Total.Seconds = []pomelo.LoadSecond{{Second: 0, Offered: 10, Complete: 10}, {Second: 1, Offered: 12, Complete: 5}}
		heights := []int{}
		for _, reports := range [][]pomelo.LoadReport{{r}, {r, r}} {
			path := filepath.Join(t.TempDir(), "line.png")
			convey.So(plots.New(reports...).Save(path), convey.ShouldBeNil)
			f, err := os.Open(path)
			convey.So(err, convey.ShouldBeNil)
			img, err := png.Decode(f)
			convey.So(err, convey.ShouldBeNil)
			convey.So(f.Close(), convey.ShouldBeNil)
			heights = append(heights, img.Bounds().Dy())
		}
		convey.So(heights[1], convey.ShouldEqual, 2*heights[0])
	})
	convey.Convey("A path that can't be written is an error", t, func() {
		convey.So(plots.New(pomelo.LoadReport{}).Save(filepath.Join(t.TempDir(), "no", "line.png")), convey.ShouldNotBeNil)
	})
}
