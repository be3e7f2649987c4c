// Package admin serves the administration listener: operators' commands, metrics
// and health.
package admin
