// Package limit adapts an upstream's concurrency limit to the self time of its
// calls, which excludes the time that they wait for sub-calls.
package limit
