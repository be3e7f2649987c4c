// Package burn computes how fast each service consumes the error budget of its
// objective, and which client account has the highest burn rate.
package burn
