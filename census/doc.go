// Package census keeps the member list that the store's records show, with the proofs
// that it is current, when the store returns from an older copy of itself.
//
// Load pattern: every member announces itself again within seconds of the return, in any
// order, while calls go on. The copy lacks the newest records and still has older ones; a
// member that lacks a record there is alive, and must neither leave nor be joined by
// those that left after the copy was made.
package census
