// Package rank orders calls for load shedding, in the same way at every service.
package rank
