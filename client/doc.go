// Package client talks to a node's administration API.
package client
