// Package queue decides which calls an upstream runs at once, which wait and which
// are refused: the most important first, and none that can't end in time.
package queue
