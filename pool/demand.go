package pool

import "github.com/pomeloworks/pomelo"

const (
	demandWindow   = pomelo.Millis(200)
	demandDecay    = 0.8
	maxIdleWindows = 40 // windows without requests after which the mean is reset
)

// demand is an exponential moving average of requests per millisecond.
type demand struct {
	start pomelo.Millis
	count float64
	mean  float64
}

func (d *demand) add(now pomelo.Millis) {
	d.advance(now)
	d.count++
}

func (d *demand) rate(now pomelo.Millis) float64 {
	d.advance(now)
	return d.mean
}

func (d *demand) advance(now pomelo.Millis) {
	n := int((now - d.start) / demandWindow)
	if n <= 0 {
		return
	}
	if n > maxIdleWindows {
		*d = demand{start: now}
		return
	}
	for range n {
		d.mean = demandDecay*d.mean + (1-demandDecay)*d.count/float64(demandWindow)
		d.count = 0
		d.start += demandWindow
	}
}
