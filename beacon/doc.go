// Package beacon keeps this node's record in the platform's store under a lease.
package beacon
