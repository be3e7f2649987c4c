// Package demo runs a small fleet with some load in one process and checks the
// invariants that such a run can verify.
package demo
