// Package mesh builds a node that runs on the users' platform: members and policy
// come from the platform's store, and no state is kept on the VM.
package mesh
