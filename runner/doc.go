// Package runner executes operators' commands: it answers queries, writes changes
// to the store, and waits until a change is applied on all nodes.
package runner
