// Package fakekv is a stand-in for the platform's key-value store: an HTTP
// server with compare-and-swap, leases and long-poll watches, held in memory.
//
// The protocol is JSON over HTTP (see docs/store_protocol.md):
//
//	GET  /record?key=K                        a record
//	GET  /records?prefix=P                    a listing
//	POST /record                              a write; returns the record
//	POST /lease         {"ttl_ms":n}          returns {"lease":id}
//	POST /lease/renew   {"lease":id}
//	POST /lease/revoke  {"lease":id}
//	GET  /watch?prefix=P&since=R&wait_ms=n    a listing of the changes after R
//	GET  /counters                            calls by operation and in total
//	POST /fault                               a pomelo.StoreFault
//
// Errors are returned as JSON pomelo.Fault with a matching status code.
package fakekv
