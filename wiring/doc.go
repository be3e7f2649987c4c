// Package wiring builds a node from its components and runs its lifecycle:
// start, drain, stop.
package wiring
