// Package life runs a node's life cycle from serving to stopping, as defined by
// the state chart node_life.ini.
package life
