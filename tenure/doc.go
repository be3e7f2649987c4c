// Package tenure decides when a process has to give up its ownership of resources
// because its record in the store may have been gone.
//
// Load pattern: the store returns from an older copy while all processes go on working.
// Those that write their records again before anybody could have taken over go on
// without a break; the others resign.
package tenure
