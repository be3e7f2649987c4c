package retry

import (
	"sync"

	"github.com/pomeloworks/pomelo"
)

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

// Budget implements pomelo.RetryBudget. It compares a service's retries of the last ten seconds with its calls in the same span, in the previous span or in the span half-way in between, whichever has the most calls, since a failing service gets fewer calls.
type Budget struct {
	clock          pomelo.Clock
	share          float64
	floor          int
	perSecondShare float64
	mu             sync.Mutex
	services       map[string]*window
}

// New returns a budget of one retry for every ten calls, plus ten retries in ten seconds.
func New(clock pomelo.Clock, opts ...func(*Budget)) *Budget {
	r := &Budget{clock: clock, share: defaultShare, floor: defaultFloor, perSecondShare: 1, services: map[string]*window{}}
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
	r.window(service).add(1, 0)
}

// TryRetry reports whether the service's budget allows another retry, and counts the retry if so.
func (r *Budget) TryRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	allowed := float64(r.floor) + r.share*float64(w.calls())
	if float64(w.retries()) >= allowed || float64(w.newest().retries) >= max(1, r.perSecondShare*allowed) {
		return false
	}
	w.add(0, 1)
	return true
}

func (r *Budget) window(service string) *window {
	w := r.services[service]
	if w == nil {
		w = &window{}
		r.services[service] = w
	}
	w.advance(r.clock.Now() / bucketLength)
	return w
}
