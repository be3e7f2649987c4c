// Package record keeps the crashes of upstreams in the store, one record each, so
// that all nodes count them, also those that start later.
package record
