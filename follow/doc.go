// Package follow keeps a mirror up to date with the platform's store, and restores
// configuration from the mirror after the store returned with an older state.
package follow
