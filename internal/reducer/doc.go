// Package reducer is the state machine of a router: every event goes into Step,
// and effects come out as data. It is composed of reducers with a single
// responsibility each (membership, rollout, claims, quarantine, health, entry,
// owner, counters, orders). Messages of a router to itself take the same path
// as messages from other routers.
//
// Step reads no clock, draws no random numbers, does no I/O and starts no
// goroutine. It must be called from one goroutine at a time.
package reducer
