// Package fleet runs a stand-in for the store, stand-ins for upstreams and real
// nodes in one process on loopback, for the demo and for benchmarks.
package fleet
