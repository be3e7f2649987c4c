package mesh_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo/platform/fake"
	"github.com/smartystreets/goconvey/convey"
)

const (
	// limitRate and limitBurst are the limits of an account that asks for far more, in requests a second and requests.
	limitRate, limitBurst = 20, 60
	// changeInterval is the time between two changes of a series, which lasts for changeSpan.
	changeInterval = 300 * time.Millisecond
	changeSpan     = 3 * time.Second
	// useTime is the time in which the callers use the burst up.
	useTime = 600 * time.Millisecond
	// earnTime is the time in which the owners of a new fleet earn the burst.
	earnTime = 1500*time.Millisecond + limitBurst/limitRate*time.Second
)

// limitsText is a table of accounts in which the account of the key has these limits.
func limitsText(rate, burst float64) string {
	return fmt.Sprintf(`"tenants":{"acme":{"api_keys":["%s"],"rate_per_s":%g,"burst":%g},"other":{"api_keys":["spare"],"rate_per_s":10,"burst":17}}`, key, rate, burst)
}

// TestBurstOverChanges guards against QUOTA: an account gets its burst again when its limits change and change back.
func TestBurstOverChanges(t *testing.T) {
	whole := limitsText(limitRate, limitBurst)
	without := `"tenants":{"other":{"api_keys":["spare"],"rate_per_s":10,"burst":17}}`
	swapped := fmt.Sprintf(`"tenants":{"acme":{"api_keys":["spare"],"rate_per_s":10,"burst":17},"other":{"api_keys":["%s"],"rate_per_s":%d,"burst":%d}}`, key, limitRate, limitBurst)
	series := map[string][]string{
		"the burst lowered and raised over each threshold":   {limitsText(limitRate, 17), whole, limitsText(limitRate, 8), whole, limitsText(limitRate, 4), whole},
		"the burst lowered in steps, and raised":             {limitsText(limitRate, 17), limitsText(limitRate, 8), limitsText(limitRate, 4), limitsText(limitRate, 9), limitsText(limitRate, 18), whole},
		"the rate lowered and raised":                        {limitsText(1, limitBurst), whole},
		"the rate lowered and raised, and the burst with it": {limitsText(1, 4), whole},
		"the account removed and put back":                   {without, whole},
	}
	for name, tables := range series {
		testBurstOverChanges(t, name, whole, tables, false)
	}
	const first = "the burst lowered and raised over each threshold"
	testBurstOverChanges(t, first+" and the store away for a node", whole, series[first], true)
	convey.Convey("Two accounts that swap their keys keep what each has used", t, func() {
		f := newFleet(t, 3)
		f.waitReady()
		f.putAccounts(2, whole)
		time.Sleep(earnTime)
		served, lasted := f.askOver(func() {
			time.Sleep(useTime)
			for n := range int(changeSpan / changeInterval) {
				f.putAccounts(3+n, []string{swapped, whole}[n%2])
				time.Sleep(changeInterval)
			}
		})
		// The key uses the bursts of both accounts, each once.
		allowed := 2*limitBurst + 2*limitRate*lasted.Seconds()*1.1 + 2
		t.Logf("swapped keys: %d served, %.0f allowed", served, allowed)
		convey.So(float64(served), convey.ShouldBeLessThanOrEqualTo, allowed)
	})
}

func testBurstOverChanges(t *testing.T, name, whole string, tables []string, away bool) {
	convey.Convey("With "+name+", an account gets its rate, and its burst once", t, func() {
		f := newFleet(t, 3)
		f.waitReady()
		f.putAccounts(2, whole)
		time.Sleep(earnTime)
		if away {
			f.store.SetFault("2", fake.Fault{Status: http.StatusServiceUnavailable})
		}
		served, lasted := f.askOver(func() {
			time.Sleep(useTime)
			for n := range int(changeSpan / changeInterval) {
				f.putAccounts(3+n, tables[n%len(tables)])
				time.Sleep(changeInterval)
			}
		})
		// The rate may count twice while some nodes know a change and others do not.
		allowed := limitBurst + limitRate*lasted.Seconds()*1.1 + 2
		t.Logf("%s: %d served, %.0f allowed", name, served, allowed)
		convey.So(float64(served), convey.ShouldBeLessThanOrEqualTo, allowed)
	})
}

// askOver returns how many requests with the key are served while every node gets far more than the account may send, and for how long that was.
func (f *fleet) askOver(during func()) (served int64, lasted time.Duration) {
	var n atomic.Int64
	var asking sync.WaitGroup
	end := make(chan struct{})
	from := time.Now()
	for i, m := range f.nodes {
		for w := range 4 {
			asking.Go(func() {
				for k := 0; ; k++ {
					select {
					case <-end:
						return
					default:
					}
					if s, _ := m.send("GET", "/a/x", fmt.Sprint("over", i, w, k), ""); s == http.StatusOK {
						n.Add(1)
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	// The heartbeats go on, so that no upstream is taken for lost.
	asking.Go(func() {
		for seq := 1_000; ; seq++ {
			select {
			case <-end:
				return
			case <-time.After(500 * time.Millisecond):
				for _, m := range f.nodes {
					_ = m.heartbeat("ready", seq)
				}
			}
		}
	})
	during()
	lasted = time.Since(from)
	close(end)
	asking.Wait()
	return n.Load(), lasted
}
