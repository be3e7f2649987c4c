package gate

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/pomeloworks/pomelo"
)

const farDeadline = pomelo.Millis(1 << 40)

// BenchmarkDecision measures one arrival and one end of a call while a fixed number of calls waits; the clock advances by 1 ms every ten iterations.
func BenchmarkDecision(b *testing.B) {
	for _, accounts := range []int{8, 1000} {
		for _, n := range []int{10, 100, 1_000, 10_000} {
			b.Run(fmt.Sprintf("accounts=%d/waiting=%d", accounts, n), func(b *testing.B) { benchmarkDecision(b, accounts, n) })
		}
	}
}

func benchmarkDecision(b *testing.B, accounts, waiting int) {
	m := newModel(50, 10, farDeadline, WithSettings(pomelo.LimitSettings{Queue: waiting}))
	m.run(2_000, eightStreams(10, 1, 0))
	c, l := m.clock, m.limiter
	for i := 0; l.Waiting() < waiting; i++ {
		_, _ = l.admitOrQueue(c.Now(), call(i, accounts))
	}
	calls := make([]pomelo.Call, 1<<14)
	for i := range calls {
		calls[i] = call(waiting+i, accounts)
	}
	i := 0
	for b.Loop() {
		i++
		if i%10 == 0 {
			c.Advance(1)
		}
		p := &permit{limiter: l, started: c.Now() - 5}
		_, _ = l.admitOrQueue(c.Now(), calls[i%len(calls)])
		p.Release(5, true)
	}
	b.ReportMetric(float64(l.Waiting()), "waiting")
}

func call(i, accounts int) pomelo.Call {
	return pomelo.Call{
		RootID:     strconv.Itoa(i),
		Account:    strconv.Itoa(i % accounts),
		Importance: i % 3,
		Deadline:   farDeadline,
	}
}
