// Package send sends a call to a member that serves it, and retries it at
// another member if the first did not run it or the call is idempotent, as long
// as the call has retries left.
package send
