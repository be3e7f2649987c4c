// Package entry is the HTTP listener for callers: it checks a request's route,
// key, deadline, body and rate before it turns the request into a call.
package entry
