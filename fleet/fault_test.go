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
	requestsEach = 8
	// callerTimeout is what the callers allow where the fault holds answers back.
	callerTimeout = pomelo.Millis(200)
	patient       = pomelo.Millis(20_000)
	neverInTime   = pomelo.Millis(600_000)
	accountName   = "growers"
	shortGrace    = pomelo.Millis(20)
)

// seen is what a caller got for one request.
type seen struct {
	method string
	status int
	ran    string
	root   string
	nonce  string
	fault  pomelo.Fault
	answer pomelo.FakeAnswer
	sum    string
	broken bool
}

// faultRow is one way in which an upstream misbehaves; both says that its only peer does so too.
type faultRow struct {
	name    string
	spec    pomelo.FakeUpstream
	fault   pomelo.FakeFault
	both    bool
	timeout pomelo.Millis
	whole   string
}

// The shares of whole answers that a row may ask for.
const (
	wholeAll  = "all"
	wholeSome = "some"
	wholeNone = "none"
)

var faultRows = []faultRow{
	{"health says ok though it sheds load", pomelo.FakeUpstream{HealthMode: pomelo.FakeHealthAlwaysOK}, pomelo.FakeFault{Refuse: true}, false, patient, wholeSome},
	{"health fails though all is well", pomelo.FakeUpstream{HealthMode: pomelo.FakeHealthAlwaysFail}, pomelo.FakeFault{}, false, patient, wholeAll},
	{"health lags behind a dead upstream", pomelo.FakeUpstream{HealthMode: pomelo.FakeHealthLags, LoadReportLag: neverInTime}, pomelo.FakeFault{Down: true}, false, patient, wholeSome},
	{"cold start", pomelo.FakeUpstream{ServiceTime: 2, ColdStart: neverInTime, ColdFactor: 4}, pomelo.FakeFault{}, true, patient, wholeAll},
	{"accepts and never answers", pomelo.FakeUpstream{}, pomelo.FakeFault{NeverRespond: true}, true, callerTimeout, wholeNone},
	{"one of two never answers", pomelo.FakeUpstream{}, pomelo.FakeFault{NeverRespond: true}, false, callerTimeout, wholeSome},
	{"late but in time", pomelo.FakeUpstream{}, pomelo.FakeFault{ResponseDelay: 20}, true, patient, wholeAll},
	{"later than the deadline", pomelo.FakeUpstream{}, pomelo.FakeFault{ResponseDelay: neverInTime}, true, callerTimeout, wholeNone},
	{"crossed answers", pomelo.FakeUpstream{}, pomelo.FakeFault{WrongID: true}, true, patient, wholeNone},
	{"one of two crosses answers", pomelo.FakeUpstream{}, pomelo.FakeFault{WrongID: true}, false, patient, wholeSome},
	{"half answers", pomelo.FakeUpstream{}, pomelo.FakeFault{TruncateResponse: true}, true, patient, wholeNone},
	{"one of two gives half answers", pomelo.FakeUpstream{}, pomelo.FakeFault{TruncateResponse: true}, false, patient, wholeSome},
	{"dead", pomelo.FakeUpstream{}, pomelo.FakeFault{Down: true}, true, patient, wholeNone},
}

func TestFaultTable(t *testing.T) {
	for _, r := range faultRows {
		convey.Convey("Whole answers or true refusals only: "+r.name, t, r.run)
	}
}

func (r faultRow) run() {
	f := fleet.New(r.plan(), fleet.WithDrainGrace(shortGrace))
	convey.So(f.Start(context.Background()), convey.ShouldBeNil)
	f.Upstreams()[1].SetFault(r.fault)
	if r.both {
		f.Upstreams()[2].SetFault(r.fault)
	}
	all := r.ask(f)
	convey.So(f.Stop(context.Background()), convey.ShouldBeNil)
	r.check(all, starts(f.Upstreams()))
}

// plan is a front through which callers come, and two upstreams of the shop.
func (r faultRow) plan() pomelo.FleetPlan {
	zones := []string{"a"}
	shop := r.spec
	shop.Service, shop.Slots, shop.Connections = "shop", 50, 400
	// A busy machine must not fail a row: only the row's fault may.
	limits := pomelo.DefaultLimits()
	limits.ConnectTimeout, limits.KeyMaxAge = patient, patient
	front := pomelo.FakeUpstream{Service: "front", Slots: 50, Connections: 400}
	return pomelo.FleetPlan{
		Services: []pomelo.FleetService{
			{Upstream: front, Count: 1, Zones: zones},
			{Upstream: shop, Count: 2, Zones: zones},
		},
		Accounts: []pomelo.ClientAccount{{Name: accountName, Rate: 1e4, Burst: 1e4}},
		Routes: []pomelo.Route{
			{Name: "POST /orders", Service: "shop", Importance: 9, NonIdempotent: true, Timeout: patient},
			{Name: "GET /history", Service: "shop", Importance: 3, Timeout: patient},
		},
		Limits: limits,
	}
}

// ask sends requests all at once, and one at a time where a sound upstream is left to find.
func (r faultRow) ask(f *fleet.Fleet) []seen {
	all := make([]seen, 2*requestsEach)
	var running sync.WaitGroup
	for i := range requestsEach {
		if r.whole == wholeSome {
			running.Wait()
		}
		running.Go(func() { all[i] = request(f, http.MethodPost, "/orders", r.timeout, i) })
		running.Go(func() { all[requestsEach+i] = request(f, http.MethodGet, "/history", r.timeout, requestsEach+i) })
	}
	running.Wait()
	return all
}

func request(f *fleet.Fleet, method, path string, timeout pomelo.Millis, n int) seen {
	s := seen{method: method, nonce: fmt.Sprintf("nonce-%d", n)}
	body := ""
	if method == http.MethodPost {
		body = "body of " + s.nonce
	}
	sum := sha256.Sum256([]byte(body))
	s.sum = hex.EncodeToString(sum[:])
	q, err := http.NewRequest(method, f.Targets()[0]+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Header.Set(pomelo.HeaderKey, f.Secret(accountName))
	q.Header.Set(pomelo.FakeHeaderNonce, s.nonce)
	q.Header.Set(pomelo.HeaderTimeout, fmt.Sprint(int64(timeout)))
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		s.broken = true
		return s
	}
	defer func() { _ = a.Body.Close() }()
	s.read(a)
	return s
}

func (s *seen) read(a *http.Response) {
	b, err := io.ReadAll(a.Body)
	s.broken = err != nil
	s.status = a.StatusCode
	s.ran = a.Header.Get(pomelo.HeaderRan)
	s.root = a.Header.Get(pomelo.HeaderRootID)
	_ = json.Unmarshal(b, &s.fault)
	_ = json.Unmarshal(b, &s.answer)
}

// starts counts the executions of each root request.
func starts(upstreams []*fakeup.Server) map[string]int {
	found := map[string]int{}
	for _, u := range upstreams {
		for _, e := range u.Events() {
			if e.Kind == pomelo.FakeEventStart {
				found[e.RootID]++
			}
		}
	}
	return found
}

func (r faultRow) check(all []seen, starts map[string]int) {
	whole := 0
	var refusals []string
	for _, s := range all {
		convey.So(s.broken, convey.ShouldBeFalse)
		s.checkRuns(starts[s.root])
		if s.status == http.StatusOK {
			whole++
			convey.So(s.answer.Nonce, convey.ShouldEqual, s.nonce)
			convey.So(s.answer.RootID, convey.ShouldEqual, s.root)
			convey.So(s.answer.BodySHA256, convey.ShouldEqual, s.sum)
			continue
		}
		refusals = append(refusals, s.fault.Error())
		convey.So(string(s.fault.Kind), convey.ShouldNotBeBlank)
		convey.So(s.fault.Remedy, convey.ShouldNotBeBlank)
	}
	switch r.whole {
	case wholeAll:
		convey.So(refusals, convey.ShouldBeEmpty)
	case wholeSome:
		convey.So(whole, convey.ShouldBeGreaterThan, 0)
	case wholeNone:
		convey.So(whole, convey.ShouldEqual, 0)
	}
}

// isUpstreams tells an upstream's own whole answer that it sheds load, which says nothing about having run.
func (s seen) isUpstreams() bool {
	return s.status == http.StatusServiceUnavailable && s.ran == "" && s.fault.Message == "the upstream sheds load"
}

// checkRuns compares what the caller was told with what the upstreams logged.
func (s seen) checkRuns(runs int) {
	if s.status != http.StatusOK && !s.isUpstreams() {
		convey.So([]string{"no", "yes", "unknown"}, convey.ShouldContain, s.ran)
	}
	if s.ran == string(pomelo.RanNo) {
		convey.So(runs, convey.ShouldEqual, 0)
	}
	if s.ran == string(pomelo.RanYes) {
		convey.So(runs, convey.ShouldBeGreaterThan, 0)
	}
	if s.method == http.MethodPost {
		convey.So(runs, convey.ShouldBeLessThanOrEqualTo, 1)
	}
}
