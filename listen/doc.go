// Package listen accepts the QUIC connections of peers and passes the message of
// each stream to the handler of its kind.
package listen
