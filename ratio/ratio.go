package ratio

import (
	"sync"

	"github.com/pomeloworks/pomelo"
)

const (
	defaultShare = 0.1
	// defaultFloor is in retries a window, so that a service with few calls can retry at all.
	defaultFloor = 10
	bucketLength = pomelo.Millis(1_000)
	// buckets make up the span over which retries are counted.
	buckets = 10
	// kept is twice as many: retries may be weighed against the calls of the span before.
	kept = 2 * buckets
)

// Ratio counts calls and retries by service. Retries of the last ten seconds are weighed against the calls of these, of the ten before, or of ten half-way in between, whichever are most: a service that fails gets fewer calls just then.
type Ratio struct {
	clock    pomelo.Clock
	share    float64
	floor    int
	pace     float64
	mu       sync.Mutex
	services map[string]*window
}

// New returns a ratio of one retry in ten calls, and of ten retries in ten seconds at least.
func New(clock pomelo.Clock, opts ...func(*Ratio)) *Ratio {
	r := &Ratio{clock: clock, share: defaultShare, floor: defaultFloor, pace: 1, services: map[string]*window{}}
	for _, o := range opts {
		o(r)
	}
	return r
}

// WithShare sets the share of retries in calls, 0 to 1, and the retries in ten seconds that are allowed without any call.
func WithShare(share float64, floor int) func(*Ratio) {
	return func(r *Ratio) {
		r.share = share
		r.floor = floor
	}
}

// WithPace bounds the retries of one second to this part of those of ten, 0 to 1, so that some are left for the more important calls of the seconds to come.
func WithPace(part float64) func(*Ratio) {
	return func(r *Ratio) { r.pace = part }
}

// RecordCall counts a first attempt at a service that is known to exist.
func (r *Ratio) RecordCall(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(service).add(1, 0)
}

// TryRetry counts one more attempt and reports true, or reports false when the service has had its share of retries.
func (r *Ratio) TryRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.window(service)
	allowed := float64(r.floor) + r.share*float64(w.calls())
	if float64(w.retries()) >= allowed || float64(w.newest().retries) >= max(1, r.pace*allowed) {
		return false
	}
	w.add(0, 1)
	return true
}

func (r *Ratio) window(service string) *window {
	w := r.services[service]
	if w == nil {
		w = &window{}
		r.services[service] = w
	}
	w.advance(r.clock.Now() / bucketLength)
	return w
}
