package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/query"
	"github.com/smartystreets/goconvey/convey"
)

// askLines runs the ask command for the node with text as standard input, and returns the exit code, output and errors.
func (f *testFleet) askLines(n *testNode, text string, args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	flags := flag.NewFlagSet("ask", flag.ContinueOnError)
	flags.SetOutput(&errs)
	all := append([]string{"-node", n.admin, "-token_file", filepath.Join(f.dir, "token")}, args...)
	err := runAsk(context.Background(), invocation{Arguments: all, Input: strings.NewReader(text), Output: &out, Errors: &errs, Flags: flags})
	return reportError(&errs, err), out.String(), errs.String()
}

func (f *testFleet) setUpstreamFault(vm, fault string) {
	resp, err := http.Post("http://"+f.upstreams[vm]+"/fault", "application/json", strings.NewReader(fault))
	if err != nil {
		f.t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

func (f *testFleet) logs() string {
	var out strings.Builder
	for _, n := range f.nodes {
		out.WriteString(n.process.log.String())
	}
	return out.String()
}

func TestOperators(t *testing.T) {
	convey.Convey("Given three services", t, func() {
		f, a, secret, keyID := threeServices(t)
		c := f.nodes["c"]
		convey.Convey("any node shows refused accounts and unhealthy services, and no log contains a secret", func() {
			_, _ = request(http.DefaultClient, "POST", a.caller, "/orders", "wrong-"+secret)
			convey.So(f.ask(c, "set account growers rate 1 burst 1").Fault, convey.ShouldBeNil)
			convey.So(eventually(func() bool {
				_, _ = request(http.DefaultClient, "POST", a.caller, "/orders", secret)
				return strings.Contains(tableOf(f, c, "show refusals by kind last 5m"), "rate_exceeded")
			}), convey.ShouldBeTrue)
			convey.So(tableOf(f, c, "show refusals by kind"), convey.ShouldContainSubstring, "key_unknown")
			convey.So(tableOf(f, c, "show refusals by account"), convey.ShouldContainSubstring, "growers")
			convey.So(f.ask(c, "set account growers rate 1000 burst 1000").Fault, convey.ShouldBeNil)
			for range 60 {
				_, _ = request(http.DefaultClient, "POST", a.caller, "/orders", secret)
			}
			time.Sleep(1500 * time.Millisecond)
			convey.So(tableOf(f, c, "show services struggling"), convey.ShouldEqual, "[]")
			f.setUpstreamFault("c", `{"down":true}`)
			convey.So(eventually(func() bool {
				_, _ = request(http.DefaultClient, "POST", a.caller, "/orders", secret)
				text := tableOf(f, a, "show services struggling")
				return strings.Contains(text, "sensors") && strings.Contains(text, "c: broken")
			}), convey.ShouldBeTrue)
			convey.So(f.ask(c, "withdraw key "+keyID[:12]).Fault, convey.ShouldBeNil)
			convey.So(f.logs(), convey.ShouldNotContainSubstring, secret)
			convey.So(f.logs(), convey.ShouldNotContainSubstring, "Bearer")
			convey.So(f.logs(), convey.ShouldContainSubstring, "event=command")
		})
		convey.Convey("commands are read from standard input, wait until all nodes have applied them, and stop at the first fault", func() {
			text := "# plan\nset account labs rate 5 burst 5\n\nshow accounts\n"
			code, out, errs := f.askLines(c, text, "-wait_ms", "20000")
			convey.So(errs, convey.ShouldBeBlank)
			convey.So(code, convey.ShouldEqual, exitOK)
			convey.So(out, convey.ShouldContainSubstring, "labs")
			convey.So(tableOf(f, a, "show accounts"), convey.ShouldContainSubstring, "labs")
			code, out, errs = f.askLines(a, "show ndoes\nshow accounts\n")
			convey.So(code, convey.ShouldEqual, exitUsage)
			convey.So(out, convey.ShouldBeBlank)
			convey.So(errs, convey.ShouldContainSubstring, `did you mean "nodes"?`)
			convey.So(errs, convey.ShouldContainSubstring, "line 1")
		})
		convey.Convey("the burn report counts the calls of all nodes and is plotted", func() {
			convey.So(f.ask(a, "set objective shop whole 99 latency_ms 2000 share 90").Fault, convey.ShouldBeNil)
			f.setUpstreamFault("b", `{"down":true}`)
			convey.So(eventually(func() bool {
				_, _ = request(http.DefaultClient, "POST", c.caller, "/orders", secret)
				r := f.burn(a)
				return len(r.Services) == 1 && r.Services[0].State == pomelo.BurnFast
			}), convey.ShouldBeTrue)
			worst := f.burn(c).Services[0].WorstAccount
			convey.So(worst.Account, convey.ShouldEqual, "growers")
			convey.So(worst.Reasons[0].Count, convey.ShouldBeGreaterThan, 0)
			picture := filepath.Join(f.dir, "burn.png")
			var out, errs bytes.Buffer
			args := []string{"burn", "-node", a.admin, "-token_file", filepath.Join(f.dir, "token"), "-plot", picture}
			convey.So(run(context.Background(), args, &out, &errs), convey.ShouldEqual, exitOK)
			convey.So(out.String(), convey.ShouldContainSubstring, "shop: worst client account growers")
			_, err := os.Stat(picture)
			convey.So(err, convey.ShouldBeNil)
			convey.So(run(context.Background(), []string{"burn", "-node", a.admin}, &out, &errs), convey.ShouldEqual, exitError)
			convey.So(errs.String(), convey.ShouldContainSubstring, string(pomelo.KindUnauthorized))
		})
		convey.Convey("exit codes distinguish conflicts, changes that are not applied everywhere, and changes in doubt", func() {
			code, _, errs := f.askLines(a, "", "-expected", "1", "set account growers rate 7")
			convey.So(code, convey.ShouldEqual, exitError)
			convey.So(errs, convey.ShouldContainSubstring, string(pomelo.KindConflict))
			c.process.signal(syscall.SIGSTOP)
			defer c.process.signal(syscall.SIGCONT)
			code, _, errs = f.askLines(a, "", "-wait_ms", "100", "set account growers rate 8")
			convey.So(code, convey.ShouldEqual, exitNotApplied)
			convey.So(errs, convey.ShouldContainSubstring, "not yet in force at: c")
			f.storeProcess.signal(syscall.SIGSTOP)
			defer f.storeProcess.signal(syscall.SIGCONT)
			code, _, errs = f.askLines(a, "", "-id", "x", "set account growers rate 9")
			convey.So(code, convey.ShouldEqual, exitInDoubt)
			convey.So(errs, convey.ShouldContainSubstring, "command id x")
		})
	})
}

func (f *testFleet) burn(n *testNode) pomelo.BurnReport {
	var out, errs bytes.Buffer
	args := []string{"burn", "-json", "-node", n.admin, "-token_file", filepath.Join(f.dir, "token")}
	if code := run(context.Background(), args, &out, &errs); code != exitOK {
		f.t.Fatal(errs.String())
	}
	var r pomelo.BurnReport
	if err := json.Unmarshal(out.Bytes(), &r); err != nil {
		f.t.Fatal(err)
	}
	return r
}

func tableOf(f *testFleet, n *testNode, line string) string {
	r := f.ask(n, line)
	if r.Table == nil {
		return fmt.Sprint(r.Fault)
	}
	return fmt.Sprint(r.Table.Rows)
}

func TestCompletion(t *testing.T) {
	convey.Convey("Keywords that are possible at the cursor are returned, and the rest of the line is unchanged", t, func() {
		p, err := query.New()
		convey.So(err, convey.ShouldBeNil)
		head, words, tail := complete(p, "show ref by kind", 8)
		convey.So(head, convey.ShouldEqual, "show ")
		convey.So(words, convey.ShouldResemble, []string{"refusals"})
		convey.So(tail, convey.ShouldEqual, " by kind")
	})
}

func TestBadCertificate(t *testing.T) {
	convey.Convey("A node with an invalid certificate does not start and reports why", t, func() {
		dir := t.TempDir()
		file := filepath.Join(dir, "x.pem")
		convey.So(os.WriteFile(file, []byte("x"), 0o600), convey.ShouldBeNil)
		settings := filepath.Join(dir, "node.ini")
		text := "[node]\nvm = a\navailability_zone = a\npeer_address = 127.0.0.1:0\n[store]\nurl = http://127.0.0.1:1\n" +
			"[caller]\naddress = 127.0.0.1:0\ncertificate_file = " + file + "\nprivate_key_file = " + file +
			"\n[upstream]\naddress = 127.0.0.1:0\n[admin]\naddress = 127.0.0.1:0\n"
		convey.So(os.WriteFile(settings, []byte(text), 0o600), convey.ShouldBeNil)
		var out, errs bytes.Buffer
		convey.So(run(context.Background(), []string{"node", "-settings", settings}, &out, &errs), convey.ShouldEqual, exitUsage)
		convey.So(errs.String(), convey.ShouldStartWith, "pomelo: bad_settings: the certificate for callers can't be used")
	})
}
