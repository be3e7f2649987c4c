// Package ledger records the calls that an upstream is running. The upstream's
// sub-calls refer to their parent call by an unguessable token and share its
// deadline and its retry budget.
package ledger
