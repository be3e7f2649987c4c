// Package perhop retries failed calls at each hop on its own, so that attempts
// multiply with the depth of the call tree; measurements use it as a baseline.
package perhop
