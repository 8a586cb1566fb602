// Package coldstart bounds the requests that all routers together send to an upstream
// while it is cold: after a start, or when it says so. The bound holds without an exchange
// of counts, which would arrive too late in a large fleet: a few of the registered routers,
// the same ones by the view of each router, send to a cold upstream, each at an interval.
//
// The package is deterministic: each call is given the time, and nothing in it does I/O or
// starts a goroutine. It is not safe for concurrent use.
package coldstart
