package worker

import "github.com/pomeloworks/pomelo"

// drainRetryAfter is the RetryAfter of calls refused while the upstream drains: the time until a caller may find another one.
const drainRetryAfter = pomelo.Millis(200)

// WithWaiting sets what refuses the waiting calls when the worker drains.
func WithWaiting(r pomelo.WaitingRefuser) func(*Worker) {
	return func(w *Worker) { w.waiting = r }
}

// StopBy bounds the deadlines of the calls from now on, and makes the worker refuse those as not run that can't be expected to be answered by the given time.
func (w *Worker) StopBy(end pomelo.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopBy = end
}

// Drain makes the worker refuse new and waiting calls as not run, and returns the number of the latter; running calls continue.
func (w *Worker) Drain() int {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	if w.waiting == nil {
		return 0
	}
	return w.waiting.RefuseWaiting(drainingFault)
}

// limitTime returns the refusal of a call that arrives too late in a planned stop, or bounds its deadline. The call's context keeps its time, so that the upstream's own answer at the deadline still arrives.
func (w *Worker) limitTime(c *pomelo.Call, arrived pomelo.Millis) *pomelo.Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopBy == 0 {
		return nil
	}
	if !c.CanEndBy(w.stopBy, arrived) {
		return drainingFault()
	}
	c.Deadline = min(c.Deadline, w.stopBy)
	return nil
}

func drainingFault() *pomelo.Fault {
	f := pomelo.NewFault(pomelo.KindDraining, "the upstream takes no new calls", "send the request to another upstream")
	f.RetryAfter = drainRetryAfter
	return f
}
