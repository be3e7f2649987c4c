// Package gossip spreads changes of the store's records from node to node, so that
// only a few nodes read the store, and tracks the freshness of a node's copy.
package gossip
