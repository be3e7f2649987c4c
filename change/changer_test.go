package change_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/pomeloworks/pomelo"
	"github.com/smartystreets/goconvey/convey"
)

func TestMerging(t *testing.T) {
	convey.Convey("Fields that a command does not name stay unchanged, and a route set after its removal keeps no old options", t, func() {
		r := newRig(t)
		c := r.changer(r.store)
		_, err := r.execute(c, "0", "set account A rate 5")
		shouldBeFault(err, pomelo.KindBadCommand, pomelo.RanNo)
		for i, line := range []string{
			setA, "set account A rate 7", `set route "GET /x" service shop importance 4 open on`, `set route "GET /x" worth 2`,
			"set objective shop whole 99.9 latency_ms 300 share 99", "set objective shop latency_ms 200",
		} {
			_, err := r.execute(c, strconv.Itoa(i+1), line)
			convey.So(err, convey.ShouldBeNil)
		}
		a, _ := r.account()
		convey.So(a, convey.ShouldResemble, pomelo.ClientAccount{Name: "A", Rate: 7, Burst: 200})
		convey.So(r.route(), convey.ShouldResemble, pomelo.Route{Name: "GET /x", Service: "shop", Importance: 4, Open: true, Worth: 2})
		_, err = r.execute(c, "r", `remove route "GET /x"`)
		convey.So(err, convey.ShouldBeNil)
		_, err = r.execute(c, "s", `remove route "GET /x"`)
		shouldBeFault(err, pomelo.KindNotFound, pomelo.RanNo)
		_, err = r.execute(c, "t", `set route "GET /x" service shop`)
		convey.So(err, convey.ShouldBeNil)
		convey.So(r.route(), convey.ShouldResemble, pomelo.Route{Name: "GET /x", Service: "shop"})
	})
}

func (r *rig) route() pomelo.Route {
	e, err := r.store.Get(context.Background(), pomelo.PrefixRoute+"GET /x")
	convey.So(err, convey.ShouldBeNil)
	var out pomelo.Route
	convey.So(json.Unmarshal(e.Value, &out), convey.ShouldBeNil)
	return out
}

func TestRepeats(t *testing.T) {
	convey.Convey("A repeated command id returns the first result, also after later commands and from several nodes concurrently", t, func() {
		r := newRig(t)
		first, err := r.execute(r.changer(r.store), "1", setA)
		convey.So(err, convey.ShouldBeNil)
		_, err = r.execute(r.changer(r.store), "2", "set account A rate 7")
		convey.So(err, convey.ShouldBeNil)
		repeated, err := r.execute(r.changer(r.store), "1", setA)
		convey.So(err, convey.ShouldBeNil)
		convey.So(repeated.Revision, convey.ShouldEqual, first.Revision)
		convey.So(repeated.Repeated, convey.ShouldBeTrue)
		_, err = r.execute(r.changer(r.store), "1", "set account A rate 8")
		shouldBeFault(err, pomelo.KindBadCommand, pomelo.RanNo)
		cmd := r.parse("issue key for A")
		var wg sync.WaitGroup
		results := make([]pomelo.CommandResult, 8)
		for i := range results {
			wg.Go(func() {
				results[i], _ = r.changer(r.store).Execute(context.Background(), pomelo.Change{ID: "3", Command: cmd})
			})
		}
		wg.Wait()
		secrets := 0
		for _, e := range results {
			convey.So(e.KeyID, convey.ShouldEqual, results[0].KeyID)
			convey.So(e.Revision, convey.ShouldEqual, 3)
			if e.Secret != "" {
				secrets++
			}
		}
		convey.So(secrets, convey.ShouldEqual, 1)
	})
}

func TestForgottenRepeat(t *testing.T) {
	convey.Convey("A repeated command that the history may have dropped is in doubt and changes nothing; a new command is applied", t, func() {
		r := newRig(t)
		c := r.changer(r.store)
		first := uuid.Must(uuid.NewV7()).String()
		_, err := r.execute(c, first, setA)
		convey.So(err, convey.ShouldBeNil)
		for i := range 8 {
			_, err = r.execute(c, uuid.Must(uuid.NewV7()).String(), fmt.Sprint("set account A rate ", i+1))
			convey.So(err, convey.ShouldBeNil)
		}
		_, err = r.repeat(c, first, setA)
		shouldBeFault(err, pomelo.KindInDoubt, pomelo.RanUnknown)
		a, _ := r.account()
		convey.So(a.Rate, convey.ShouldEqual, 8)
		time.Sleep(2 * time.Millisecond)
		_, err = r.repeat(c, uuid.Must(uuid.NewV7()).String(), "set account A rate 9")
		convey.So(err, convey.ShouldBeNil)
	})
}

func TestExpectedRevision(t *testing.T) {
	convey.Convey("A command with an expected revision does not overwrite another operator's change", t, func() {
		r := newRig(t)
		c := r.changer(r.store)
		first, err := r.execute(c, "1", setA)
		convey.So(err, convey.ShouldBeNil)
		_, err = r.execute(c, "2", "set account A rate 7")
		convey.So(err, convey.ShouldBeNil)
		_, err = c.Execute(context.Background(), pomelo.Change{ID: "3", Expected: first.Revision, Command: r.parse("set account A rate 8")})
		shouldBeFault(err, pomelo.KindConflict, pomelo.RanNo)
		a, _ := r.account()
		convey.So(a.Rate, convey.ShouldEqual, 7)
	})
}

func TestKeysAndStops(t *testing.T) {
	convey.Convey("A key is withdrawn only by a unique prefix, and a stop can be planned and cancelled", t, func() {
		r := newRig(t)
		c := r.changer(r.store)
		_, err := r.execute(c, "1", "issue key for A")
		shouldBeFault(err, pomelo.KindNotFound, pomelo.RanNo)
		_, err = r.execute(c, "2", setA)
		convey.So(err, convey.ShouldBeNil)
		prefixes := map[string][]string{}
		for i := range 17 {
			k, err := r.execute(c, fmt.Sprint("k", i), "issue key for A")
			convey.So(err, convey.ShouldBeNil)
			prefixes[k.KeyID[:1]] = append(prefixes[k.KeyID[:1]], k.KeyID)
		}
		for p, ids := range prefixes {
			if len(ids) > 1 {
				_, err = r.execute(c, "w"+p, "withdraw key "+p)
				shouldBeFault(err, pomelo.KindBadCommand, pomelo.RanNo)
			}
			out, err := r.execute(c, "v"+p, "withdraw key "+ids[0][:16])
			convey.So(err, convey.ShouldBeNil)
			convey.So(out.KeyID, convey.ShouldEqual, ids[0])
		}
		_, err = r.execute(c, "x", "withdraw key zz")
		shouldBeFault(err, pomelo.KindNotFound, pomelo.RanNo)
		_, err = r.execute(c, "3", "cancel stop a")
		shouldBeFault(err, pomelo.KindNotFound, pomelo.RanNo)
		_, err = r.execute(c, "4", "stop vm a at 2001-01-01T00:00:00Z")
		shouldBeFault(err, pomelo.KindBadCommand, pomelo.RanNo)
		for i, line := range []string{"stop vm a at +30s", "cancel stop a", "stop vm a at now"} {
			_, err = r.execute(c, strconv.Itoa(5+i), line)
			convey.So(err, convey.ShouldBeNil)
		}
		_, err = r.execute(c, "8", "lost vm a")
		shouldBeFault(err, pomelo.KindBadCommand, pomelo.RanNo)
	})
}
