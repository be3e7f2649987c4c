// Package cutkv simulates network partitions between single VMs and the platform's
// store, for nodes in one process.
package cutkv
