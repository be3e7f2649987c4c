package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pomeloworks/pomelo"
)

const (
	maxTriggerAttempts = 5
	triggerRetryDelay  = pomelo.Millis(100)
)

type triggerCount struct {
	failed atomic.Int64
}

func (r *Runner) runTrigger(ctx context.Context, started pomelo.Millis, t pomelo.LoadTrigger) {
	if r.sleepUntil(ctx, started+t.At) != nil {
		return
	}
	if t.At > 0 {
		r.setFaults(ctx, t.URLs, t.Fault)
	}
	if t.Until <= 0 {
		return
	}
	_ = r.sleepUntil(ctx, started+t.Until)
	// A cancelled run also clears its faults.
	r.setFaults(context.WithoutCancel(ctx), t.URLs, pomelo.FakeFault{})
}

// setFaults posts to all stand-ins concurrently, since all upstreams of a service are to slow down at the same time.
func (r *Runner) setFaults(ctx context.Context, urls []string, f pomelo.FakeFault) {
	var running sync.WaitGroup
	for _, u := range urls {
		running.Go(func() { r.setFault(ctx, u, f) })
	}
	running.Wait()
}

func (r *Runner) setFault(ctx context.Context, url string, f pomelo.FakeFault) {
	for range maxTriggerAttempts {
		if r.postFault(ctx, url, f) {
			return
		}
		_ = r.clock.Sleep(ctx, triggerRetryDelay)
	}
	r.triggers.failed.Add(1)
}

func (r *Runner) postFault(ctx context.Context, url string, f pomelo.FakeFault) bool {
	body, err := json.Marshal(f)
	if err != nil {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, defaultTimeout.Duration())
	defer cancel()
	q, err := http.NewRequestWithContext(limited, http.MethodPost, url+"/fault", bytes.NewReader(body))
	if err != nil {
		return false
	}
	a, err := r.client.Do(q)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return isSuccess(a.StatusCode)
}
