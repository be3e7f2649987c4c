package fleet_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/fakeup"
	"github.com/pomeloworks/pomelo/fleet"
	"github.com/smartystreets/goconvey/convey"
)

const (
	requestsPerMethod = 8
	// callerTimeout is the timeout of the callers where the fault delays responses beyond any timeout.
	callerTimeout = pomelo.Millis(200)
	longTimeout   = pomelo.Millis(20_000)
	neverDelay    = pomelo.Millis(600_000)
	accountName   = "growers"
	shortGrace    = pomelo.Millis(20)
)

// outcome is the result of a caller's request.
type outcome struct {
	method  string
	status  int
	ran     string
	root    string
	nonce   string
	fault   pomelo.Fault
	answer  pomelo.FakeAnswer
	bodySum string
	failed  bool
}

// faultCase is a fault of an upstream; bothUpstreams injects it into the only other upstream of the service as well.
type faultCase struct {
	name          string
	spec          pomelo.FakeUpstream
	fault         pomelo.FakeFault
	bothUpstreams bool
	timeout       pomelo.Millis
	complete      string
}

// Responses that are not valid HTTP.
const (
	status000   = "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}"
	blankInName = "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}"
)

// How many of a case's responses have to be complete.
const (
	completeAll  = "all"
	completeSome = "some"
	completeNone = "none"
)

var faultCases = []faultCase{
	{"health check succeeds while shedding load", pomelo.FakeUpstream{HealthMode: pomelo.FakeHealthAlwaysOK}, pomelo.FakeFault{Refuse: true}, false, longTimeout, completeSome},
	{"health check fails while healthy", pomelo.FakeUpstream{HealthMode: pomelo.FakeHealthAlwaysFail}, pomelo.FakeFault{}, false, longTimeout, completeAll},
	{"health check lags behind a dead upstream", pomelo.FakeUpstream{HealthMode: pomelo.FakeHealthLags, LoadReportLag: neverDelay}, pomelo.FakeFault{Down: true}, false, longTimeout, completeSome},
	{"cold start", pomelo.FakeUpstream{ServiceTime: 2, ColdStart: neverDelay, ColdFactor: 4}, pomelo.FakeFault{}, true, longTimeout, completeAll},
	{"accepts calls and never responds", pomelo.FakeUpstream{}, pomelo.FakeFault{NeverRespond: true}, true, callerTimeout, completeNone},
	{"one of two never responds", pomelo.FakeUpstream{}, pomelo.FakeFault{NeverRespond: true}, false, callerTimeout, completeSome},
	{"slow but within the deadline", pomelo.FakeUpstream{}, pomelo.FakeFault{ResponseDelay: 20}, true, longTimeout, completeAll},
	{"slower than the deadline", pomelo.FakeUpstream{}, pomelo.FakeFault{ResponseDelay: neverDelay}, true, callerTimeout, completeNone},
	{"responses to other requests", pomelo.FakeUpstream{}, pomelo.FakeFault{WrongID: true}, true, longTimeout, completeNone},
	{"one of two responds to other requests", pomelo.FakeUpstream{}, pomelo.FakeFault{WrongID: true}, false, longTimeout, completeSome},
	{"truncated responses", pomelo.FakeUpstream{}, pomelo.FakeFault{TruncateResponse: true}, true, longTimeout, completeNone},
	{"one of two truncates responses", pomelo.FakeUpstream{}, pomelo.FakeFault{TruncateResponse: true}, false, longTimeout, completeSome},
	{"responses with the status 000", pomelo.FakeUpstream{}, pomelo.FakeFault{RawResponse: status000}, true, longTimeout, completeNone},
	{"one of two responds with the status 000", pomelo.FakeUpstream{}, pomelo.FakeFault{RawResponse: status000}, false, longTimeout, completeSome},
	{"responses with a blank in the name of a field", pomelo.FakeUpstream{}, pomelo.FakeFault{RawResponse: blankInName}, true, longTimeout, completeNone},
	{"one of two responds with a blank in the name of a field", pomelo.FakeUpstream{}, pomelo.FakeFault{RawResponse: blankInName}, false, longTimeout, completeSome},
	{"dead", pomelo.FakeUpstream{}, pomelo.FakeFault{Down: true}, true, longTimeout, completeNone},
}

func TestFaultTable(t *testing.T) {
	for _, r := range faultCases {
		convey.Convey("Callers get only complete responses or correct refusals: "+r.name, t, r.run)
	}
}

func (r faultCase) run() {
	f := fleet.New(r.plan(), fleet.WithDrainGrace(shortGrace))
	convey.So(f.Start(context.Background()), convey.ShouldBeNil)
	f.Upstreams()[1].SetFault(r.fault)
	if r.bothUpstreams {
		f.Upstreams()[2].SetFault(r.fault)
	}
	outcomes := r.sendAll(f)
	convey.So(f.Stop(context.Background()), convey.ShouldBeNil)
	r.check(outcomes, executionsByRoot(f.Upstreams()))
}

// plan has one node of the service front, which callers send to, and two upstreams of the service shop.
func (r faultCase) plan() pomelo.FleetPlan {
	zones := []string{"a"}
	shop := r.spec
	shop.Service, shop.Slots, shop.Connections = "shop", 50, 400
	// Long timeouts: only the injected fault may fail a case, not a busy machine.
	limits := pomelo.DefaultLimits()
	limits.ConnectTimeout, limits.KeyMaxAge = longTimeout, longTimeout
	front := pomelo.FakeUpstream{Service: "front", Slots: 50, Connections: 400}
	return pomelo.FleetPlan{
		Services: []pomelo.FleetService{
			{Upstream: front, Count: 1, Zones: zones},
			{Upstream: shop, Count: 2, Zones: zones},
		},
		Accounts: []pomelo.ClientAccount{{Name: accountName, Rate: 1e4, Burst: 1e4}},
		Routes: []pomelo.Route{
			{Name: "POST /orders", Service: "shop", Importance: 9, NonIdempotent: true, Timeout: longTimeout},
			{Name: "GET /history", Service: "shop", Importance: 3, Timeout: longTimeout},
		},
		Limits: limits,
	}
}

// sendAll sends the requests in parallel, except where a healthy upstream remains: there it sends a pair at a time, so that the nodes can find that upstream.
func (r faultCase) sendAll(f *fleet.Fleet) []outcome {
	outcomes := make([]outcome, 2*requestsPerMethod)
	var running sync.WaitGroup
	for i := range requestsPerMethod {
		if r.complete == completeSome {
			running.Wait()
		}
		running.Go(func() { outcomes[i] = request(f, http.MethodPost, "/orders", r.timeout, i) })
		running.Go(func() {
			outcomes[requestsPerMethod+i] = request(f, http.MethodGet, "/history", r.timeout, requestsPerMethod+i)
		})
	}
	running.Wait()
	return outcomes
}

func request(f *fleet.Fleet, method, path string, timeout pomelo.Millis, n int) outcome {
	s := outcome{method: method, nonce: fmt.Sprintf("nonce-%d", n)}
	body := ""
	if method == http.MethodPost {
		body = "body of " + s.nonce
	}
	sum := sha256.Sum256([]byte(body))
	s.bodySum = hex.EncodeToString(sum[:])
	q, err := http.NewRequest(method, f.Targets()[0]+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Header.Set(pomelo.HeaderKey, f.Secret(accountName))
	q.Header.Set(pomelo.FakeHeaderNonce, s.nonce)
	q.Header.Set(pomelo.HeaderTimeout, fmt.Sprint(int64(timeout)))
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		s.failed = true
		return s
	}
	defer func() { _ = a.Body.Close() }()
	s.read(a)
	return s
}

func (s *outcome) read(a *http.Response) {
	b, err := io.ReadAll(a.Body)
	s.failed = err != nil
	s.status = a.StatusCode
	s.ran = a.Header.Get(pomelo.HeaderRan)
	s.root = a.Header.Get(pomelo.HeaderRootID)
	_ = json.Unmarshal(b, &s.fault)
	_ = json.Unmarshal(b, &s.answer)
}

// executionsByRoot counts the executions of each root request.
func executionsByRoot(upstreams []*fakeup.Server) map[string]int {
	executions := map[string]int{}
	for _, u := range upstreams {
		for _, e := range u.Events() {
			if e.Kind == pomelo.FakeEventStart {
				executions[e.RootID]++
			}
		}
	}
	return executions
}

func (r faultCase) check(outcomes []outcome, executions map[string]int) {
	complete := 0
	var refusals []string
	for _, s := range outcomes {
		convey.So(s.failed, convey.ShouldBeFalse)
		s.checkExecutions(executions[s.root])
		if s.status == http.StatusOK {
			complete++
			convey.So(s.answer.Nonce, convey.ShouldEqual, s.nonce)
			convey.So(s.answer.RootID, convey.ShouldEqual, s.root)
			convey.So(s.answer.BodySHA256, convey.ShouldEqual, s.bodySum)
			continue
		}
		refusals = append(refusals, s.fault.Error())
		convey.So(string(s.fault.Kind), convey.ShouldNotBeBlank)
		convey.So(s.fault.Remedy, convey.ShouldNotBeBlank)
	}
	switch r.complete {
	case completeAll:
		convey.So(refusals, convey.ShouldBeEmpty)
	case completeSome:
		convey.So(complete, convey.ShouldBeGreaterThan, 0)
	case completeNone:
		convey.So(complete, convey.ShouldEqual, 0)
	}
}

// isUpstreamShedding reports whether the response is the upstream's own, complete one that it sheds load, which doesn't state whether the call ran.
func (s outcome) isUpstreamShedding() bool {
	return s.status == http.StatusServiceUnavailable && s.ran == "" && s.fault.Message == "the upstream sheds load"
}

// checkExecutions compares whether the call ran, as reported to the caller, with the executions that the upstreams logged.
func (s outcome) checkExecutions(executions int) {
	if s.status != http.StatusOK && !s.isUpstreamShedding() {
		convey.So([]string{"no", "yes", "unknown"}, convey.ShouldContain, s.ran)
	}
	if s.ran == string(pomelo.RanNo) {
		convey.So(executions, convey.ShouldEqual, 0)
	}
	if s.ran == string(pomelo.RanYes) {
		convey.So(executions, convey.ShouldBeGreaterThan, 0)
	}
	if s.method == http.MethodPost {
		convey.So(executions, convey.ShouldBeLessThanOrEqualTo, 1)
	}
}
