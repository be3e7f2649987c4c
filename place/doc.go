// Package place chooses the member that a call is sent to by its expected
// response time, from the member's load, speed, failures and availability zone.
package place
