// Package queue decides which calls an upstream runs at once, which wait and which
// are refused: it admits the most important calls first, and refuses those that
// can't end before their deadline. It answers a load of more calls than an upstream
// has slots, states as its limit, or tolerates while it is cold.
package queue
