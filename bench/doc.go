// Package bench runs a load plan on a fleet of real nodes in one process and adds
// the executions that the stand-in upstreams logged to the report.
package bench
