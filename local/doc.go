// Package local is the loopback listener for this node's own upstream: it accepts
// the upstream's announcement, its withdrawal and its sub-calls.
package local
