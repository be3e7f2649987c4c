package change_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/change"
	"github.com/pomeloworks/pomelo/fakekv"
	"github.com/pomeloworks/pomelo/hookkv"
	"github.com/pomeloworks/pomelo/kvhttp"
	"github.com/pomeloworks/pomelo/query"
	"github.com/smartystreets/goconvey/convey"
)

const (
	storeTimeout   = pomelo.Millis(100)
	commandTimeout = pomelo.Millis(600)
	accountA       = pomelo.PrefixAccount + "A"
)

// rig is a fake store and a client that reads its content directly.
type rig struct {
	server *fakekv.Server
	url    string
	store  pomelo.Store
	parser *query.Parser
}

func newRig(t testing.TB) *rig {
	s := fakekv.New()
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	p, err := query.New()
	if err != nil {
		t.Fatal(err)
	}
	return &rig{server: s, url: h.URL, store: kvhttp.New(h.URL), parser: p}
}

func (r *rig) changer(s pomelo.Store) *change.Changer {
	return change.New(s, change.WithTimeout(commandTimeout))
}

func (r *rig) hookedChanger(gets, puts map[int]func()) *change.Changer {
	return r.changer(hookkv.New(kvhttp.New(r.url, kvhttp.WithTimeout(storeTimeout)), gets, puts))
}

func (r *rig) setFault(f pomelo.StoreFault) func() {
	return func() { r.server.SetFault(f) }
}

func (r *rig) parse(line string) pomelo.Command {
	c, err := r.parser.Parse(line)
	convey.So(err, convey.ShouldBeNil)
	return c
}

func (r *rig) execute(c *change.Changer, id, line string) (pomelo.CommandResult, error) {
	return c.Execute(context.Background(), pomelo.Change{ID: id, Command: r.parse(line)})
}

func (r *rig) repeat(c *change.Changer, id, line string) (pomelo.CommandResult, error) {
	return c.Execute(context.Background(), pomelo.Change{ID: id, Repeat: true, Command: r.parse(line)})
}

func (r *rig) account() (pomelo.ClientAccount, pomelo.Revision) {
	e, err := r.store.Get(context.Background(), accountA)
	if pomelo.IsKind(err, pomelo.KindNotFound) {
		return pomelo.ClientAccount{}, 0
	}
	convey.So(err, convey.ShouldBeNil)
	var a pomelo.ClientAccount
	convey.So(json.Unmarshal(e.Value, &a), convey.ShouldBeNil)
	return a, e.Revision
}

func shouldBeFault(err error, k pomelo.Kind, ran pomelo.Ran) {
	convey.So(err, convey.ShouldNotBeNil)
	f := pomelo.FaultOf(err)
	convey.So(f.Kind, convey.ShouldEqual, k)
	convey.So(f.Ran, convey.ShouldEqual, ran)
	convey.So(f.Remedy, convey.ShouldNotBeBlank)
}
