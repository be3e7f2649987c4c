// Package guard keeps a process running when the work on one message ends with a panic.
package guard
