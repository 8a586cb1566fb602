// Package reducer is the one state machine of a router: every event goes into
// Step and effects come out as data. It is composed of reducers with one job
// each (membership, rollout, claims, quarantine, entry, owner, counters) and
// passes messages to itself through the same path as messages to others.
//
// Step reads no clock, draws no randomness, does no I/O and starts no
// goroutine; it must be called from one goroutine at a time.
package reducer
