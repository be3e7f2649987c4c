package gate

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/pomeloworks/pomelo"
)

const far = pomelo.Millis(1 << 40)

// BenchmarkDecision is one arrival and one end with so many calls waiting; each millisecond has ten of them.
func BenchmarkDecision(b *testing.B) {
	for _, accounts := range []int{8, 1000} {
		for _, n := range []int{10, 100, 1_000, 10_000} {
			b.Run(fmt.Sprintf("accounts=%d/waiting=%d", accounts, n), func(b *testing.B) { decide(b, accounts, n) })
		}
	}
}

func decide(b *testing.B, accounts, waiting int) {
	m := newModel(50, 10, far, WithSettings(pomelo.LimitSettings{Queue: waiting}))
	m.run(2_000, eight(10, 1, 0))
	c, g := m.clock, m.gate
	for i := 0; g.Waiting() < waiting; i++ {
		_, _ = g.arrive(c.Now(), call(i, accounts))
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
		p := &pass{gate: g, began: c.Now() - 5}
		_, _ = g.arrive(c.Now(), calls[i%len(calls)])
		p.Release(5, true)
	}
	b.ReportMetric(float64(g.Waiting()), "waiting")
}

func call(i, accounts int) pomelo.Call {
	return pomelo.Call{
		RootID:     strconv.Itoa(i),
		Account:    strconv.Itoa(i % accounts),
		Importance: i % 3,
		Deadline:   far,
	}
}
