// Package fixed limits an upstream's concurrent calls to a fixed number with a
// bounded queue; measurements use it as a baseline.
package fixed
