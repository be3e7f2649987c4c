package clock

import (
	"github.com/pomeloworks/pomelo"
	"golang.org/x/sys/unix"
)

const nanosPerMilli = 1_000_000

// WithBoot takes the time from the kernel's boot clock, which goes on while the machine is suspended and is never set.
func WithBoot() func(*Clock) {
	start := systemWall() - boot()
	return WithReaders(func() pomelo.Millis { return start + boot() }, boot)
}

func boot() pomelo.Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return systemWall()
	}
	return pomelo.Millis(t.Nano() / nanosPerMilli)
}
