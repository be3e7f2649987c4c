// Package mesh puts a node together that runs on the users' platform: members and
// policy come from the platform's store, and nothing is kept on the VM.
package mesh
