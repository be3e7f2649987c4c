package query_test

import (
	"encoding/json"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/query"
	"github.com/smartystreets/goconvey/convey"
)

// accepted maps lines to the JSON of the parsed command.
var accepted = []struct{ line, want string }{
	{"show services", `{"show":{"table":"","services":true}}`},
	{"show services struggling", `{"show":{"table":"","services":true,"struggling":true}}`},
	{"show refusals", `{"show":{"table":"","refusals":true}}`},
	{"show refusals by account last 60s", `{"show":{"table":"","refusals":true,"by":"account","last":"60s"}}`},
	{"show refusals last 1h", `{"show":{"table":"","refusals":true,"last":"1h"}}`},
	{"show objectives", `{"show":{"table":"objectives"}}`},
	{"issue key for growers", `{"issue_key":{"account":"growers"}}`},
	{"withdraw key 06e55b", `{"withdraw_key":{"id":"06e55b"}}`},
	{"withdraw key 1234", `{"withdraw_key":{"id":"1234"}}`},
	{"set account A rate 100 burst 200", `{"set_account":{"name":"A","rate":100,"burst":200}}`},
	{"set account A burst 7", `{"set_account":{"name":"A","rate":0,"burst":7}}`},
	{`set route "POST /orders" service shop open off`, `{"set_route":{"name":"POST /orders","options":[{"name":"service","value":"shop"},{"name":"open","value":"off"}]}}`},
	{`remove route "POST /orders"`, `{"remove_route":{"name":"POST /orders"}}`},
	{"set objective shop whole 99.9 latency_ms 300 share 99", `{"set_objective":{"service":"shop","options":[{"name":"whole","value":"99.9"},{"name":"latency_ms","value":"300"},{"name":"share","value":"99"}]}}`},
	{"stop vm shop-1 at now", `{"stop_vm":{"vm":"shop-1","at":"now"}}`},
	{"stop vm shop-1 at +30s", `{"stop_vm":{"vm":"shop-1","at":"+30s"}}`},
	{"stop vm shop-1 at 2026-01-31T18:00:00Z", `{"stop_vm":{"vm":"shop-1","at":"2026-01-31T18:00:00Z"}}`},
	{"cancel stop shop-1", `{"cancel_stop":{"vm":"shop-1"}}`},
	{"lost vm shop-1", `{"lost_vm":{"vm":"shop-1"}}`},
}

// refused maps invalid lines to substrings of the fault's message and remedy.
var refused = []struct{ line, message, remedy string }{
	{"shwo nodes", `"shwo" is not known here`, `did you mean "show"?`},
	{"show ndoes", `"ndoes" is not known here`, `did you mean "nodes"?`},
	{"show services strugling", "strugling", `did you mean "struggling"?`},
	{"show refusals by acount", "acount", `did you mean "account"?`},
	{"issue kee for a", "kee", `did you mean "key"?`},
	{"set acount A rate 1", "acount", `did you mean "account"?`},
	{"set account A rte 1", "rte", `did you mean "rate"?`},
	{`set route "GET /" importnace 1`, "importnace", `did you mean "importance"?`},
	{"show", "not finished", "nodes"},
	{"", "not finished", "show"},
	{"set account A rate x", `"rate" has no valid value`, "docs/commands.md"},
	{"set account A rate 0", "rate 0", "more than 0"},
	{"set account A rate -1", "rate -1", "more than 0"},
	{"set account A burst 0.5", "burst 0.5", "1 request or more"},
	{"set account A rate 1 rate 2", "twice", "once"},
	{"set account A/B rate 1", "", ""},
	{`set account "A/B" rate 1`, "client account", "slashes"},
	{"set account A rate 9" + nines(400), "not a number in range", "give a number"},
	{`set route "POST /orders" importance 10`, "importance 10", "0 to 9"},
	{`set route "POST /orders" importance 1.5`, "importance 1.5", "0 to 9"},
	{`set route "POST /orders" open yes`, "open yes", "on or off"},
	{`set route "POST /orders" non_idempotent true`, "non_idempotent true", "on or off"},
	{`set route "POST /orders" worth -1`, "worth -1", "0 or more"},
	{`set route "POST /orders" worth NaN`, "worth NaN is not a number", "give a number"},
	{`set route "POST /orders" timeout_ms 0`, "timeout_ms 0", "whole milliseconds"},
	{`set route "orders" service shop`, "not a route's name", "METHOD /path"},
	{`remove route "post /x"`, "not a route's name", "METHOD /path"},
	{"set objective shop whole 100", "whole 100", "percentage"},
	{"set objective shop latency_ms 0", "latency_ms 0", "whole milliseconds"},
	{"stop vm a at tomorrow", "tomorrow", "now"},
	{"stop vm a at 2026-13-31T18:00:00Z", "not a time", "RFC 3339"},
	{"stop vm a at +99999999999999h", "not a delay", "+30s"},
	{"show refusals last 9h", "last 9h", "6h"},
	{"show nodes now", "now", ""},
}

func nines(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = '9'
	}
	return string(b)
}

func newParser(t testing.TB) *query.Parser {
	p, err := query.New()
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestLanguage(t *testing.T) {
	p := newParser(t)
	convey.Convey("Every command of the language is parsed", t, func() {
		for _, a := range accepted {
			c, err := p.Parse(a.line)
			convey.So(err, convey.ShouldBeNil)
			b, err := json.Marshal(c)
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(b), convey.ShouldEqual, a.want)
		}
	})
	convey.Convey("The fault names the invalid word, the remedy and the nearest valid word", t, func() {
		for _, r := range refused {
			_, err := p.Parse(r.line)
			convey.So(err, convey.ShouldNotBeNil)
			f := pomelo.FaultOf(err)
			convey.So(f.Kind, convey.ShouldEqual, pomelo.KindBadCommand)
			convey.So(f.Ran, convey.ShouldEqual, pomelo.RanNo)
			convey.So(f.Message, convey.ShouldContainSubstring, r.message)
			convey.So(f.Remedy, convey.ShouldContainSubstring, r.remedy)
			convey.So(f.Remedy, convey.ShouldNotBeBlank)
		}
	})
	convey.Convey("Completion returns the keywords that may come next", t, func() {
		convey.So(p.Completions("sh"), convey.ShouldResemble, []string{"show"})
		convey.So(p.Completions("show s"), convey.ShouldResemble, []string{"services", "stops"})
		convey.So(p.Completions("show refusals by "), convey.ShouldResemble, []string{"account", "kind", "service"})
		convey.So(p.Completions("set account A "), convey.ShouldResemble, []string{"burst", "rate"})
		convey.So(p.Completions("issue key for "), convey.ShouldBeEmpty)
	})
}

func FuzzParse(f *testing.F) {
	for _, a := range accepted {
		f.Add(a.line)
	}
	for _, r := range refused {
		f.Add(r.line)
	}
	p := newParser(f)
	f.Fuzz(func(t *testing.T, line string) {
		c, err := p.Parse(line)
		if err != nil {
			e := pomelo.FaultOf(err)
			if e.Kind != pomelo.KindBadCommand || e.Remedy == "" {
				t.Fatalf("%q: %v", line, err)
			}
			return
		}
		if _, err := json.Marshal(c); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		p.Completions(line)
	})
}
