// Package cutoff computes each client account's cutoff: the position in the
// shedding order below which an upstream refuses the account's calls.
package cutoff
