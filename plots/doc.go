// Package plots plots load reports as a PNG: goodput, refusals and recovery over
// the time of the run.
package plots
