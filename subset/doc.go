// Package subset chooses the members of a service that a node sends its calls to.
//
// It answers the load pattern of many nodes that each send few calls to many members: with a
// connection from every node to every member, the connections grow with the square of the fleet, and
// handshakes and idle connections cost more than the calls. Choices follow from the list of members
// alone; the package uses no clock, I/O or goroutine.
package subset
