// Package proof decides whether a copy of the policy counts as current.
//
// Load pattern: the store returns from an older copy, which may lack the withdrawal of a
// key that it had acknowledged, while callers go on using that key and other processes
// start. A read of the copy proves nothing until the operators had the time to write
// again, and never proves an older version than a peer has.
package proof
