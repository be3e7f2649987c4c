// Package uplink sends calls to the upstream beside this node over persistent
// HTTP/1.1 connections, and reports whether a refused call may have run.
package uplink
