package clock

import (
	"sync"
	"time"

	"github.com/pomeloworks/pomelo"
	"golang.org/x/sys/unix"
)

const (
	nanosPerMilli = 1_000_000
	// driftLimit is the largest change, in milliseconds, of the wall clock's offset from the monotonic clock before the boot clock is read again.
	driftLimit = pomelo.Millis(5)
)

// WithBoot reads the time from the kernel's boot clock, which also runs while the machine is suspended and is never set.
func WithBoot() func(*Clock) {
	b := newBootReader(systemWall, systemMonotonic(), readBootClock)
	start := systemWall() - b.read()
	return WithReaders(func() pomelo.Millis { return start + b.read() }, b.read)
}

// WithMonotonic reads the wall clock once and advances that time by the monotonic clock alone.
func WithMonotonic() func(*Clock) {
	start := systemWall()
	monotonic := systemMonotonic()
	return WithReaders(func() pomelo.Millis { return start + monotonic() }, monotonic)
}

// bootReader avoids most system calls: a suspension moves the wall clock against the monotonic clock, and only then is the boot clock read again.
type bootReader struct {
	wall       func() pomelo.Millis
	monotonic  func() pomelo.Millis
	boot       func() pomelo.Millis
	mu         sync.Mutex
	wallOffset pomelo.Millis
	bootOffset pomelo.Millis
}

func newBootReader(wall, monotonic, boot func() pomelo.Millis) *bootReader {
	b := &bootReader{wall: wall, monotonic: monotonic, boot: boot}
	b.wallOffset = wall() - monotonic()
	b.bootOffset = boot() - monotonic()
	return b
}

func (b *bootReader) read() pomelo.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.monotonic()
	wallOffset := b.wall() - now
	if wallOffset-b.wallOffset > driftLimit || b.wallOffset-wallOffset > driftLimit {
		b.wallOffset = wallOffset
		b.bootOffset = b.boot() - now
	}
	return now + b.bootOffset
}

func readBootClock() pomelo.Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return pomelo.Millis(time.Now().UnixMilli())
	}
	return pomelo.Millis(t.Nano() / nanosPerMilli)
}
