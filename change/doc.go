// Package change executes operators' commands as compare-and-swap writes
// to the platform's store.
package change
