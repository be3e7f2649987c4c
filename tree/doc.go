// Package tree decides which nodes watch the store and from which node each of the
// others receives changes.
//
// Load pattern: a change of one record wakes every watch, so that the calls to the store
// grow with the number of nodes. All nodes derive the same tree from the member list by
// the order of a hash; nothing is elected, and a member that leaves the list is replaced
// by the next in the order.
package tree
