// Package bound limits the connections of an HTTP server: when there are too many,
// or memory runs short, it closes those that have been idle or have stalled longest.
package bound
