// Package grant keeps the shards of client accounts' rates and bursts at their
// owner: each shard is a token bucket from which expiring grants are issued.
//
// At any time tokens + grants that are neither reported as used nor expired <= burst,
// and the bucket fills at the rate. A grant's tokens are used while the grant is
// outstanding, so over any window t at most burst + rate*t tokens are used, whatever
// messages are lost, late or repeated.
package grant
