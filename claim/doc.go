// Package claim runs the calls that carry the same idempotency key at most once
// across the fleet: the key's owner records a claim before it runs the call, and
// repeated calls get the answer of the first one.
package claim
