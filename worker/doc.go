// Package worker runs the calls that arrive for the upstream beside this node: it
// alone knows the upstream's state, slots and running calls.
package worker
