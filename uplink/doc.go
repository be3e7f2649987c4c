// Package uplink sends calls to the upstream beside this node over kept HTTP/1.1
// connections, and tells truthfully whether a call can have run.
package uplink
