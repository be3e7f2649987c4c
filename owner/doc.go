// Package owner assigns each resource to one member of the store's member list, by
// rendezvous hashing, and measures for how long this node has owned it.
//
// The owner is a process in one of its terms. A process stops acting on its resources
// before a list can show it: when its knowledge of the list or its own lease expires, or
// when it resigns. The next owner waits for as long as knowledge of the list may be
// used, unless the list shows that the previous owner has stopped, or that process
// confirms that it knows the list.
package owner
