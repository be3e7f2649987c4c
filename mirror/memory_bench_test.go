package mirror_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/pomeloworks/pomelo"
	"github.com/pomeloworks/pomelo/mirror"
)

// BenchmarkRecords reports the memory per record of a copy, with values of 350 bytes.
func BenchmarkRecords(b *testing.B) {
	for _, n := range []int{1_000, 4_000, 16_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				m := mirror.New()
				batch := pomelo.RecordBatch{Position: pomelo.Position{Revision: pomelo.Revision(n)}, Full: true}
				for i := range n {
					batch.Records = append(batch.Records, pomelo.Record{Key: fmt.Sprint(pomelo.PrefixKey, i), Value: make([]byte, 350), Revision: pomelo.Revision(i + 1)})
				}
				m.Merge(batch)
				batch.Records = nil
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/record")
				runtime.KeepAlive(m)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
