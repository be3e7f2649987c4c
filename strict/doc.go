// Package strict refuses responses that net/http accepts although they are not valid HTTP, or
// have no end.
package strict
