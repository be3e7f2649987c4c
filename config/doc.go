// Package config indexes the operators' configuration from the mirror of the platform's
// store; a node's copy never returns to a lower revision.
package config
