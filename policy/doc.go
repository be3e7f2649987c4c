// Package policy makes the operators' traffic policy ready for lookups: routes by
// host and longest prefix, client accounts by name and by key.
package policy
