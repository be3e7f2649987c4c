// Package worker runs the calls that arrive for this node's upstream, and tracks
// the upstream's state, slots and running calls.
package worker
