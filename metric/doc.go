// Package metric keeps counters, gauges and duration histograms in memory and
// writes them as JSON.
package metric
