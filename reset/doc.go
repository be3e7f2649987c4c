// Package reset keeps the reset of a connection from looking like its orderly end.
//
// The kernel reports a reset once. If a write receives it, the next read returns io.EOF, as
// after the peer's FIN.
package reset
