// Package load is an open-loop load generator: it sends requests at seeded Poisson
// arrival times, never waits for earlier requests, and reports their outcomes.
package load
