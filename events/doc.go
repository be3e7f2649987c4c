// Package events holds the last changes of the store that a node has applied, so that
// it can pass them on to other nodes.
//
// Load pattern: every change of a member or of the policy must reach all nodes within
// two seconds, and a watch of the store by each node costs one call per node and change.
// The log is bounded in records and bytes; a node that is behind the oldest kept change
// reads the store.
package events
