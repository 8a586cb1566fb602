// Package health judges upstreams from the router's own attempts: how fast each
// is beside the others of its service, how much it should run at a time, and
// whether it can be reached. It also keeps the budgets for retries and hedges.
//
// It is pure: time comes in with each call, and nothing here does I/O, draws a
// random number or starts a goroutine. It is not safe for concurrent use.
package health
