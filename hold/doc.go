// Package hold counts the memory that a node holds for one request, from its
// first byte until its answer has left the process.
package hold
