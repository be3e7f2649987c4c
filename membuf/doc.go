// Package membuf provides an in-memory buffer that can be read while a log is
// still being written to it.
package membuf
