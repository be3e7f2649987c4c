// Package clock provides the time in milliseconds: the system's time, which never
// runs backwards, or a manual time that tests advance.
package clock
