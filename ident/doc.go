// Package ident creates a process's key pair and the TLS configurations that pin
// peer certificates by fingerprint.
package ident
