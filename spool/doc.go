// Package spool puts a bounded buffer between the log and its output, so that a
// slow or stopped reader never blocks a request.
package spool
