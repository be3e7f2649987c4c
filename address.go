package pomelo

import (
	"net"
	"strconv"
)

const (
	maxPort = 65_535
	// MaxSlots is the largest number of slots that an upstream may announce.
	MaxSlots = 1 << 20
	// MaxStartTime is the latest start of an upstream, in milliseconds since the Unix epoch; a later one is in another unit.
	MaxStartTime = Millis(10_000_000_000_000)
)

// IsAddress reports whether the text is a host and a port from 1 to 65535.
func IsAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 1 && n <= maxPort
}
