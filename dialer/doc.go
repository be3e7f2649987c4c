// Package dialer keeps one QUIC connection to each peer in use and sends each
// call on a stream of its own.
package dialer
