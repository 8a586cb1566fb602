// Package pace finds how much an upstream gets that has just started or recovered, from how
// it answers: more while it answers as its peers do, less when it does not. An upstream that
// has been up for long has no pace.
//
// The pace is a window: the number of requests of all routers together that the upstream has
// not begun to answer. Every router derives it from the same evidence, what it has seen itself
// and what the others report, and a few of the routers, the same ones by the view of each, may
// have a request in the window; no router has to be asked.
//
// The package is deterministic: each call is given the time, and nothing in it does I/O or
// starts a goroutine. It is not safe for concurrent use.
package pace
