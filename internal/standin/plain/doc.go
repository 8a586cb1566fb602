// Package plain is a small stand-in for a service that is no model engine: it
// takes any method and path, works for a while, and echoes the request with the
// number of times that it ran. It records each request that it ran, so that work
// that ran twice is seen.
//
// Its faults are switched on over a control port; see Control.
package plain
