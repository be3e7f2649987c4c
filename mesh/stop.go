package mesh

import (
	"context"

	"github.com/pomeloworks/pomelo"
)

// Times of a planned stop, in milliseconds.
const (
	// readinessDelay is the time for which a stopping node still accepts requests: the platform probes readiness once a second and removes a node after two failed probes.
	readinessDelay = pomelo.Millis(2_200)
	// abortMargin is the time before the end of the grace period at which pending requests are canceled; it lies within the last sixth of a grace period of 6 s.
	abortMargin = pomelo.Millis(950)
	// exitMargin is the part of the grace period that is left for the process to exit.
	exitMargin = pomelo.Millis(500)
	// deliveryTime is the time in which the last answers reach the other nodes.
	deliveryTime = pomelo.Millis(100)
	stopPoll     = pomelo.Millis(20)
)

// Shares of a grace period that is too short for the times above.
const (
	refuseShare = 0.4
	abortShare  = 0.4
	exitShare   = 0.25
)

// stopTimes are the moments of a planned stop, in milliseconds after its start.
type stopTimes struct {
	// refuse is the time from which new requests and calls are refused as not run.
	refuse pomelo.Millis
	// abort is the time by which requests must be answered; those that are not are canceled.
	abort pomelo.Millis
	// abortCalls is the time at which the calls of other nodes are canceled.
	abortCalls pomelo.Millis
	exit       pomelo.Millis
}

func newStopTimes(grace pomelo.Millis) stopTimes {
	atMost := func(limit pomelo.Millis, share float64) pomelo.Millis {
		return min(limit, pomelo.Millis(share*float64(grace)))
	}
	exit := grace - atMost(exitMargin, exitShare)
	abort := grace - atMost(abortMargin, abortShare)
	return stopTimes{
		refuse:     atMost(readinessDelay, refuseShare),
		abort:      abort,
		abortCalls: max(abort, exit-deliveryTime-stopPoll),
		exit:       exit,
	}
}

// Stop marks the node as draining for the other members, answers what it has taken, and returns before the grace period ends. What can't be answered within it is refused as not run.
func (n *Node) Stop() {
	c := n.components
	startedAt := c.Clock.Monotonic()
	times := newStopTimes(n.settings.DrainGrace)
	n.stopping.Store(true)
	c.Log.Info("node_stopping", "running", c.Worker.Running(), "pending", c.Inlet.Pending(), "calls", c.Listen.Pending(), "refuse_after_ms", times.refuse, "answer_within_ms", times.abort)
	answerBy := c.Clock.Now() + times.abort
	c.Intake.StopBy(answerBy)
	c.Worker.StopBy(answerBy)
	c.Inlet.Drain()
	c.Beacon.UpdateMember(func(m *pomelo.Member) { m.SetDraining(true) })
	refusing := false
	idleSince := pomelo.Millis(0)
	for now := pomelo.Millis(0); now < times.exit; now = c.Clock.Monotonic() - startedAt {
		_ = c.Clock.Sleep(context.Background(), stopPoll)
		if !n.isIdle() {
			idleSince = now
		}
		if now < times.refuse {
			continue
		}
		if !refusing {
			refusing = true
			n.refuseNew()
		}
		if now-idleSince >= deliveryTime {
			break
		}
		if c.Worker.Running() == 0 {
			// No sub-call can come any more.
			c.Inlet.Close()
		}
		if now >= times.abort {
			c.Inlet.Abort()
		}
		if now >= times.abortCalls {
			c.Listen.Abort()
		}
	}
	c.Inlet.Close()
	n.close()
	c.Log.Info("node_stopped", "running", c.Worker.Running(), "pending", c.Inlet.Pending(), "calls", c.Listen.Pending(), "took_ms", c.Clock.Monotonic()-startedAt)
	c.Spool.FlushWithin(flushTimeout)
}

// refuseNew refuses new requests and calls as not run from now on, except the sub-calls of running ones, for which the listener stays open.
func (n *Node) refuseNew() {
	c := n.components
	c.Intake.RefuseNew()
	c.Inlet.CloseIdle()
	refused := c.Worker.Drain()
	c.Log.Info("node_refusing", "running", c.Worker.Running(), "pending", c.Inlet.Pending(), "calls", c.Listen.Pending(), "waiting_refused", refused)
}

func (n *Node) isIdle() bool {
	c := n.components
	return c.Worker.Running()+c.Inlet.Pending()+c.Listen.Pending() == 0
}
