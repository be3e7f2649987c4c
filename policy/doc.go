// Package policy indexes the operators' traffic policy for lookups: routes by host
// and longest path prefix, client accounts by name and by key.
package policy
