// Package relay is a UDP relay that simulates the network between two nodes: it can
// drop or delay the packets of existing flows while new flows are unaffected.
package relay
