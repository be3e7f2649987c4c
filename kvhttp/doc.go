// Package kvhttp implements pomelo.Store over the HTTP protocol of the platform's
// key-value service, which docs/store_protocol.md describes.
package kvhttp
