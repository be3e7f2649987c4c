// Package rates admits each client account's requests within its rate and burst
// over the whole fleet: every node requests expiring grants from the owners of the
// account's shards, and itself owns some shards.
package rates
