// Package spool puts a bounded buffer between the log and its output, so that a
// reader that is slow or has stopped never holds up a request.
package spool
