// Package intake turns callers' requests into calls, after it has checked route,
// key, rate and deadline.
package intake
