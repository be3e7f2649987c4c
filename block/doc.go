// Package block decides which calls are refused because upstreams keep crashing
// under them. The load it answers is a query of death: one request that crashes
// each upstream that runs it, and that comes again and again from anywhere.
package block
