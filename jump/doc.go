// Package jump provides a clock whose sleeps return at once, for runs in
// simulated time.
package jump
