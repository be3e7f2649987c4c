// Package fakeup is the stand-in upstream: it simulates slots, connection limits,
// service times, sub-calls through its node and injected faults, and logs executions.
package fakeup
