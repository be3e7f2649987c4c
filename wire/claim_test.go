package wire_test

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/pomeloworks/pomelo/wire"
	"github.com/smartystreets/goconvey/convey"
)

func TestClaimedLength(t *testing.T) {
	convey.Convey("A message that claims a long body and sends none takes no memory for it", t, func() {
		const claimed = 64 << 20
		codec := wire.New(wire.WithLimits(1<<10, claimed))
		prefix := make([]byte, 9)
		prefix[0] = 1
		binary.BigEndian.PutUint32(prefix[5:], claimed)
		r := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, err := codec.Read(bytes.NewReader(prefix)); err == nil {
					b.Fatal("a truncated message was read")
				}
			}
		})
		convey.So(r.AllocedBytesPerOp(), convey.ShouldBeLessThan, 256<<10)
	})
}
