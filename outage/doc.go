// Package outage spaces a node's calls of the store while the store can't be used.
//
// Load pattern: the store is down, slow or refuses calls, for all nodes or for some,
// while several loops in each node want to call it; refused calls cost the store as much
// as others, and all nodes notice its return at about the same time. Nodes that hear
// from their peers share one rate of attempts, whatever their number.
package outage
