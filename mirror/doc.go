// Package mirror keeps an in-memory copy of the store's records; the copy never
// moves to an older state, and it can serve the changes that another copy lacks.
package mirror
