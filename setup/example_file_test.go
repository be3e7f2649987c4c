package setup

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

const exampleFile = "../examples/node.ini"

func TestExampleFile(t *testing.T) {
	convey.Convey("The example loads, and documents every key with its default and unit", t, func() {
		_, err := New().Load(exampleFile)
		convey.So(err, convey.ShouldBeNil)
		raw, err := os.ReadFile(exampleFile)
		convey.So(err, convey.ShouldBeNil)
		for _, d := range descriptors {
			p := regexp.MustCompile(`(?s)\[` + d.section + `\]\n[^\[]*?# ([^\n]*)\n(?:# [a-z_]+ =\n)?(# )?` + d.key + ` =([^\n]*)\n`)
			m := p.FindStringSubmatch(string(raw))
			convey.So(m, convey.ShouldNotBeNil)
			convey.So(m[1], convey.ShouldContainSubstring, d.unit)
			if d.required {
				convey.So(m[2], convey.ShouldBeEmpty)
				convey.So(m[1], convey.ShouldContainSubstring, "required")
				continue
			}
			convey.So(m[2], convey.ShouldEqual, "# ")
			convey.So(strings.TrimSpace(m[3]), convey.ShouldEqual, d.defaultValue)
		}
	})
}
