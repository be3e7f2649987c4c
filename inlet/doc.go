// Package inlet is the listener for callers: it reads requests ahead, has them
// handled side by side, and writes the answers in the order of the requests.
package inlet
