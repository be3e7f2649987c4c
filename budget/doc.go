// Package budget bounds the memory of bodies that are being read, over all of a node's
// connections at once.
//
// Load pattern: many upstreams or callers send bodies without an end, on a VM with little
// memory, while others send short ones.
package budget
