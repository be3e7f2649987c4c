// Package evict lists the connections of a node's clients, and ends those that
// have stalled longest when memory or descriptors run short.
//
// Load pattern: many clients that the node doesn't control hold connections,
// requests without an end and answers that they don't read, while others call.
package evict
