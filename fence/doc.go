// Package fence records the calls that a serving node runs or has run. A sender
// that lost its connection can query the outcome of a call, and a call that has
// not started by the time of the query is fenced: it never will.
package fence
