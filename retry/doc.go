// Package retry limits the retries to each service to a share of its calls.
package retry
