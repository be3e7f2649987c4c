// Package queue decides which calls an upstream runs at once, which wait and which
// are refused: it admits the most important calls first, and refuses those that
// can't end before their deadline.
package queue
