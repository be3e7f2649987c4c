// Package quorum runs this node's part in the fleet's rosters: it sends and answers
// heartbeats, watches the rosters' records in the store, and proposes changes.
// Package roster decides which resources this node owns.
package quorum
