// Package certs provides the TLS certificate for callers and reloads it when its
// files change, without closing open connections.
package certs
