// Package tenure gives each right to one member of the store's list, by rendezvous
// hashing, and tells how long this node has held it.
package tenure
