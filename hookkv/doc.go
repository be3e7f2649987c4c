// Package hookkv is a store for tests that runs hooks before chosen calls, for
// example to inject a fault or a concurrent change by another operator.
package hookkv
