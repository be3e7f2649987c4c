// Package ratio limits the retries to each service to a share of its calls.
package ratio
