// Package notice keeps what upstreams have stated about themselves, as their nodes
// passed it on. A sender returns it with its next call, so that a node that has
// restarted knows it before its upstream's first response.
package notice
