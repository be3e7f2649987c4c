// Package plans reads and validates the JSON files that describe a fleet and a
// load run.
package plans
