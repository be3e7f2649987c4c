// Package wire frames the messages between nodes: a fixed prefix with the kind
// and the lengths, a CBOR head, a raw body, and a tail with the message's id and
// its length. A message without its tail is incomplete.
package wire
