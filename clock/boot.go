package clock

import (
	"sync"
	"time"

	"github.com/pomeloworks/pomelo"
	"golang.org/x/sys/unix"
)

const (
	nanosPerMilli = 1_000_000
	// driftLimit is how far, in milliseconds, the wall may move against the monotonic clock before the kernel is asked anew.
	driftLimit = pomelo.Millis(5)
)

// WithBoot takes the time from the kernel's boot clock, which goes on while the machine is suspended and is never set.
func WithBoot() func(*Clock) {
	b := newBootReader(systemWall, systemMonotonic(), boot)
	start := systemWall() - b.read()
	return WithReaders(func() pomelo.Millis { return start + b.read() }, b.read)
}

// WithSteady keeps the time that the wall showed at the start, moved on by the monotonic clock alone.
func WithSteady() func(*Clock) {
	start := systemWall()
	monotonic := systemMonotonic()
	return WithReaders(func() pomelo.Millis { return start + monotonic() }, monotonic)
}

// bootReader spares most system calls: a suspension moves the wall against the monotonic clock, and only then is the boot clock asked again.
type bootReader struct {
	wall      func() pomelo.Millis
	monotonic func() pomelo.Millis
	boot      func() pomelo.Millis
	mu        sync.Mutex
	gap       pomelo.Millis
	offset    pomelo.Millis
}

func newBootReader(wall, monotonic, boot func() pomelo.Millis) *bootReader {
	b := &bootReader{wall: wall, monotonic: monotonic, boot: boot}
	b.gap = wall() - monotonic()
	b.offset = boot() - monotonic()
	return b
}

func (b *bootReader) read() pomelo.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.monotonic()
	gap := b.wall() - now
	if gap-b.gap > driftLimit || b.gap-gap > driftLimit {
		b.gap = gap
		b.offset = b.boot() - now
	}
	return now + b.offset
}

func boot() pomelo.Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return pomelo.Millis(time.Now().UnixMilli())
	}
	return pomelo.Millis(t.Nano() / nanosPerMilli)
}
