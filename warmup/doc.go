// Package warmup decides whether the upstream beside a node counts as cold, and
// whether a health check of it is due. It answers the load that comes to an upstream
// which has just started, or has become cold without a restart, and would crash under it.
package warmup
