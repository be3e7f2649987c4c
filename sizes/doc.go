// Package sizes estimates how long the answers of a route are, so that a request
// can be refused before it runs if there is no memory for its answer.
package sizes
