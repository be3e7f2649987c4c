// Package roster decides, for one roster at one node, which resources the node owns.
//
// A Machine is a state machine without time, network or store of its own: its
// caller passes in clock readings, heartbeats and store reads. A member may act as
// owner while a majority of its generation, or the store, has confirmed that
// generation within the ownership TTL, counted from the request. A new
// generation takes effect once a majority of the previous generation has
// acknowledged it and the ownership TTL plus a margin of monotonic time has
// elapsed since.
package roster
