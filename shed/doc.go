// Package shed refuses requests at the entry that would be refused further down
// their call tree. Answers report which services each route calls, and below
// which position in the shedding order those services refuse calls.
package shed
