// Package view follows the policy and the members in the platform's store, and
// tells how old what it knows is.
package view
