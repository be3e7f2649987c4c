// Package view watches the policy and the member records in the platform's store
// and tracks the age of this node's copy.
package view
