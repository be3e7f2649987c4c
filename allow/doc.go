// Package allow provides the baseline for measurements without a limit: its limiter
// admits every call at once.
package allow
