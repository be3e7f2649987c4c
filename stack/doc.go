// Package stack grows the stack of a goroutine that handles a call in one step.
package stack
