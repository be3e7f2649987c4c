// Package gate admits calls to an upstream: it adapts a concurrency limit to the
// upstream's self time, keeps a bounded queue that checks deadlines, and sheds
// load by importance, fair share between client accounts and the root's hash.
package gate
