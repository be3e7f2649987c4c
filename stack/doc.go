// Package stack lets a goroutine that handles a call have its stack grown in one
// step.
package stack
