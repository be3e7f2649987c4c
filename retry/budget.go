package retry

import (
	"sync"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/cutoff"
	"github.com/pomeloworks/pomelo/rank"
)

// allAccounts is the only account of each cutoff: which calls are retried does not depend on their account.
const allAccounts = ""

const (
	defaultShare = 0.1
	// defaultFloor is the number of retries allowed in ten seconds without any call, so that calls to a service with little traffic can be retried at all.
	defaultFloor = 10
	bucketLength = pomelo.Millis(1_000)
	// buckets is the number of buckets in the span over which retries are counted.
	buckets = 10
	// retainedBuckets covers two spans, since retries may be compared with the calls of the previous span.
	retainedBuckets = 2 * buckets
)

// Budget implements pomelo.RetryBudget. Where more calls ask for a retry than it allows, retries go to the calls whose roots come last in the shedding order, the same ones at all hops and nodes:
// a request that makes several calls in sequence to a service that rejects half of them at random is served only if all of these are retried until they succeed.
//
// It compares a service's retries of the last ten seconds with its calls in the same span, in the previous span or in the span half-way in between, whichever has the most calls, since a failing service gets fewer calls.
type Budget struct {
	clock          pomelo.Clock
	share          float64
	floor          int
	perSecondShare float64
	mu             sync.Mutex
	services       map[string]*service
}

// service is the state of one service: its counts, and the position in the shedding order below which calls get no retry while more calls ask for one than the budget allows.
type service struct {
	window
	cutoff *cutoff.Cutoff
}

// New returns a budget of one retry for every ten calls, plus ten retries in ten seconds.
func New(clock pomelo.Clock, opts ...func(*Budget)) *Budget {
	r := &Budget{clock: clock, share: defaultShare, floor: defaultFloor, perSecondShare: 1, services: map[string]*service{}}
	for _, o := range opts {
		o(r)
	}
	return r
}

// WithShare sets the retries allowed for each call, 0 to 1, and the retries in ten seconds that are allowed without any call.
func WithShare(share float64, floor int) func(*Budget) {
	return func(r *Budget) {
		r.share = share
		r.floor = floor
	}
}

// WithPerSecondShare limits the retries in one second to a share, 0 to 1, of those allowed in ten seconds, so that some are left for more important calls later.
func WithPerSecondShare(share float64) func(*Budget) {
	return func(r *Budget) { r.perSecondShare = share }
}

// RecordCall counts a first attempt; the caller makes sure that the service exists.
func (r *Budget) RecordCall(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(service).add(1, 0)
}

// TryRetry reports whether the budget of the call's service allows another retry for it, and counts the retry if so.
func (r *Budget) TryRetry(c pomelo.Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(c.Service)
	k := rank.Of(c)
	s.cutoff.Advance(r.clock.Now(), false)
	if k.Position() < s.cutoff.Of(allAccounts) {
		return false
	}
	s.cutoff.RecordArrival(allAccounts, k.Importance)
	allowed := float64(r.floor) + r.share*float64(s.calls())
	if float64(s.retries()) >= allowed || float64(s.newest().retries) >= max(1, r.perSecondShare*allowed) {
		s.cutoff.RecordRefused(allAccounts, k.Importance)
		return false
	}
	s.cutoff.RecordServed(k.Importance)
	s.add(0, 1)
	return true
}

func (r *Budget) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{cutoff: cutoff.New()}
		r.services[name] = s
	}
	s.advance(r.clock.Now() / bucketLength)
	return s
}
