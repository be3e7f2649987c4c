// Package setup reads a node's settings from an INI file and reports all of
// the file's faults at once.
package setup
