// Package pool keeps the tokens that this node has been granted for one client
// account by the owners of the account's shards, and plans further token requests.
package pool
