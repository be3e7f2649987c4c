// Package intake admits callers' requests: route, key, rate and deadline are
// checked before a request becomes a call.
package intake
