package worker_test

import (
	"context"
	"testing"
	"time"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/worker"
	"github.com/smartystreets/goconvey/convey"
)

// TestWithdrawalOfUnknownUpstream guards against DRAIN: the deregistration of an upstream that the process has not heard of is acknowledged and forgotten.
func TestWithdrawalOfUnknownUpstream(t *testing.T) {
	instance := pomelo.Instance{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Slots: 50, StartedAt: 7, Sequence: 3}
	other := instance
	other.ID = "i-0"
	other.StartedAt = 1
	cases := []struct {
		name      string
		known     bool
		startedAt pomelo.Millis
		heard     func(w *worker.Worker, i pomelo.Instance)
	}{
		{"and the record of the previous process is read", false, 7, (*worker.Worker).Resume},
		{"without a start, and the record of the previous process is read", false, 0, (*worker.Worker).Resume},
		{"and a late heartbeat arrives", false, 7, (*worker.Worker).Announce},
		{"without a start, and a late heartbeat arrives", false, 0, (*worker.Worker).Announce},
		{"while another one is known, and a late heartbeat arrives", true, 7, (*worker.Worker).Announce},
	}
	for _, tc := range cases {
		convey.Convey("After a deregistration of an unknown upstream "+tc.name+", the upstream is not used before its next start", t, func() {
			w, _ := newWorker()
			if tc.known {
				w.Announce(other)
			}
			w.Withdraw(instance.ID, tc.startedAt)
			tc.heard(w, instance)
			convey.So(refusalOf(w), convey.ShouldEqual, pomelo.KindDraining)
			next := instance
			next.StartedAt++
			w.Announce(next)
			// The upstream's address takes no connections.
			convey.So(refusalOf(w), convey.ShouldEqual, pomelo.KindNoUpstream)
		})
	}
	convey.Convey("A deregistration that names a later start than the known one holds for both", t, func() {
		w, _ := newWorker()
		w.Announce(instance)
		w.Withdraw(instance.ID, instance.StartedAt+1)
		convey.So(refusalOf(w), convey.ShouldEqual, pomelo.KindDraining)
		next := instance
		next.StartedAt++
		w.Announce(next)
		convey.So(refusalOf(w), convey.ShouldEqual, pomelo.KindDraining)
	})
	convey.Convey("A deregistration of an earlier start does not withdraw the present one", t, func() {
		w, _ := newWorker()
		w.Announce(instance)
		w.Withdraw(instance.ID, instance.StartedAt-1)
		convey.So(refusalOf(w), convey.ShouldEqual, pomelo.KindNoUpstream)
	})
}

// TestResumeWithoutHeartbeat guards against DRAIN: an upstream of an outdated record is used for good.
func TestResumeWithoutHeartbeat(t *testing.T) {
	instance := pomelo.Instance{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Slots: 50, StartedAt: 7}
	heartbeat := instance
	heartbeat.Sequence = 3
	convey.Convey("A resumed upstream is used within the resume time, and again after a heartbeat", t, func() {
		w, _ := newWorker(worker.WithResumeTime(50))
		w.Resume(instance)
		convey.So(handle(w).ReachedUpstream, convey.ShouldBeTrue)
		time.Sleep(60 * time.Millisecond)
		convey.So(handle(w).ReachedUpstream, convey.ShouldBeFalse)
		w.Announce(heartbeat)
		convey.So(handle(w).ReachedUpstream, convey.ShouldBeTrue)
	})
	convey.Convey("A record that is read after the resume time does not bring the upstream back, a heartbeat does", t, func() {
		w, _ := newWorker(worker.WithResumeTime(0))
		w.Resume(instance)
		convey.So(handle(w).ReachedUpstream, convey.ShouldBeFalse)
		w.Announce(heartbeat)
		convey.So(handle(w).ReachedUpstream, convey.ShouldBeTrue)
	})
	convey.Convey("An upstream whose heartbeat came in time stays in use", t, func() {
		w, _ := newWorker(worker.WithResumeTime(50))
		w.Resume(instance)
		w.Announce(heartbeat)
		time.Sleep(60 * time.Millisecond)
		convey.So(handle(w).ReachedUpstream, convey.ShouldBeTrue)
	})
}

// handle sends one call; the upstream's address takes no connections.
func handle(w *worker.Worker) pomelo.Answer {
	return w.Handle(context.Background(), pomelo.Call{ID: "1", Service: "s", Method: "GET", Path: "/", TimeLeft: 1_000})
}

// refusalOf returns the kind of the refusal of one call.
func refusalOf(w *worker.Worker) pomelo.Kind {
	return handle(w).Refusal.Kind
}
