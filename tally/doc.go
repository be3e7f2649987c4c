// Package tally counts calls by service, client account and outcome over sliding
// windows of up to six hours, in bounded memory.
package tally
