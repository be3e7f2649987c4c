// Package health monitors a concurrency limiter and its upstream and reports
// whether the upstream is unhealthy, why, and since when.
package health
