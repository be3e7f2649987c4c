package usage

import (
	"os"
	"strconv"
	"strings"
	"syscall"

	"github.com/pomeloworks/pomelo"
)

const microsPerMilli = 1000

// Meter measures the process and sets gauges.
type Meter struct {
	clock   pomelo.Clock
	traffic []pomelo.Traffic
	started pomelo.Millis
}

// New returns a Meter of the process and of the given traffic.
func New(clock pomelo.Clock, traffic ...pomelo.Traffic) *Meter {
	return &Meter{clock: clock, traffic: traffic, started: clock.Now()}
}

// Sample sets the gauges process.up_ms, process.processor_ms, process.resident_bytes, peers.bytes and peers.connections.
func (m *Meter) Sample(metrics pomelo.Metrics) {
	metrics.Gauge("process.up_ms", float64(m.clock.Now()-m.started))
	metrics.Gauge("process.processor_ms", processorTime())
	metrics.Gauge("process.resident_bytes", residentBytes())
	var bytes uint64
	connections := 0
	for _, t := range m.traffic {
		bytes += t.Bytes()
		connections += t.Connections()
	}
	metrics.Gauge("peers.bytes", float64(bytes))
	metrics.Gauge("peers.connections", float64(connections))
}

// processorTime returns the process's user and system time in milliseconds, or 0 if it can't be read.
func processorTime() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	seconds := u.Utime.Sec + u.Stime.Sec
	micros := u.Utime.Usec + u.Stime.Usec
	return float64(seconds*microsPerMilli) + float64(micros)/microsPerMilli
}

// residentBytes returns the resident memory from the second field of statm, which counts pages, or 0 where there is no such file.
func residentBytes() float64 {
	b, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize())
}
