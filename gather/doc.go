// Package gather requests the reports of all nodes concurrently and lists the nodes
// that did not answer in time.
package gather
