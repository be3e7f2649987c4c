// Package simclk provides a clock whose sleeps return at once, for runs in
// simulated time.
package simclk
