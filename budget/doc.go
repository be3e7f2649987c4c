// Package budget bounds the memory that a node holds for its clients, over all of its
// connections at once, and that of the store's responses.
//
// Load pattern: many upstreams or callers send bodies without an end, or don't read their
// answers, on a VM with little memory, while others send short ones.
package budget
