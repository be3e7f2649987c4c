// Package filter refuses calls under whose content upstreams keep crashing, where
// they enter the fleet and before they are sent to an upstream.
package filter
