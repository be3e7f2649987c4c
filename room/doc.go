// Package room divides the memory and the descriptors of a process between its
// clients and its other tasks.
package room
