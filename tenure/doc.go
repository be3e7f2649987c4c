// Package tenure gives each right to one member of the store's list, by rendezvous
// hashing, and tells how long this node has held it.
//
// A right belongs to a process in one term. A process stops to act on its rights before
// a list can show that: at the end of its proof of the list, of its lease, or when it
// resigns. Its successor waits for as long as a proof lasts, unless the list shows that
// the process has stopped, or the process says that it knows the list.
package tenure
