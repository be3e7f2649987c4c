// Package member keeps this node's record in the platform's store under a lease and
// tracks the records of the other nodes.
package member
