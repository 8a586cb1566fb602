// Package health rates upstreams by the router's own attempts: how fast each is
// compared with the others of its service, how many requests it should run at a
// time, and whether it can be reached. It also keeps the budgets for retries and
// hedges.
//
// The package is deterministic: each call is given the time, and nothing in it does
// I/O, draws a random number or starts a goroutine. It is not safe for concurrent
// use.
package health
