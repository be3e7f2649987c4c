package pomelo_test

import (
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func TestErrorText(t *testing.T) {
	convey.Convey("A short text is whole, and a long one is cut between two characters and marked", t, func() {
		convey.So(pomelo.ErrorText(errors.New("short")), convey.ShouldEqual, "short")
		for n := range 4 {
			text := pomelo.ErrorText(errors.New(strings.Repeat("x", n) + strings.Repeat("é", 1_000)))
			convey.So(len(text), convey.ShouldBeLessThan, 210)
			convey.So(text, convey.ShouldEndWith, "é...")
			convey.So(utf8.ValidString(text), convey.ShouldBeTrue)
		}
	})
}
