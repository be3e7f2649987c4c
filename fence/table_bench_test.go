package fence_test

import (
	"context"
	"strconv"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/clock"
	"github.com/pomeloworks/pomelo/fence"
)

type immediateHandler struct{}

func (immediateHandler) Handle(_ context.Context, c pomelo.Call) pomelo.Answer {
	return pomelo.Answer{CallID: c.ID}
}

// BenchmarkHandle measures the overhead of recording a call; non-idempotent calls run with the table at its record limit.
func BenchmarkHandle(b *testing.B) {
	for _, nonIdempotent := range []bool{false, true} {
		b.Run("non_idempotent="+strconv.FormatBool(nonIdempotent), func(b *testing.B) {
			t := fence.New(clock.New(), immediateHandler{})
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				t.Handle(context.Background(), pomelo.Call{ID: strconv.Itoa(n), NonIdempotent: nonIdempotent})
			}
		})
	}
}
