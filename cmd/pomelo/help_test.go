package main

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestHelp(t *testing.T) {
	convey.Convey("Help lists every command and prints the usage of each", t, func() {
		var out, errs bytes.Buffer
		convey.So(run(context.Background(), []string{"help"}, &out, &errs), convey.ShouldEqual, exitOK)
		for _, c := range commands() {
			convey.So(out.String(), convey.ShouldContainSubstring, "  "+c.Name+" ")
			var one bytes.Buffer
			convey.So(run(context.Background(), append([]string{"help"}, strings.Fields(c.Name)...), &one, &errs), convey.ShouldEqual, exitOK)
			convey.So(one.String(), convey.ShouldStartWith, "usage: pomelo "+c.Name)
		}
		convey.So(errs.String(), convey.ShouldBeBlank)
	})
	convey.Convey("An unknown command is answered with the nearest one and the exit code for wrong usage", t, func() {
		for word, want := range map[string]string{"nod": "node", "bern": "burn", "fake stor": "fake store", "hlep": "help"} {
			var out, errs bytes.Buffer
			convey.So(run(context.Background(), strings.Fields(word), &out, &errs), convey.ShouldEqual, exitUsage)
			convey.So(errs.String(), convey.ShouldContainSubstring, "did you mean \""+want+"\"?")
		}
	})
	convey.Convey("Every operator command has a page in docs", t, func() {
		for _, name := range []string{"ask", "burn", "help", "version"} {
			_, err := os.Stat("../../docs/pomelo_" + name + ".md")
			convey.So(err, convey.ShouldBeNil)
		}
	})
}
