// Package place chooses the member that a call is sent to by when it can be
// expected to answer: its load, its speed, its failures, and the way to it.
package place
