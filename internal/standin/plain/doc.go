// Package plain implements a test double of a plain HTTP service, as opposed to a
// model engine. It accepts any method and path, simulates a service time, and
// echoes the request with the number of times that it ran. It counts the runs of
// each idempotency key, so that tests can detect work that ran twice.
//
// Faults are injected over a control port; see Server.Control.
package plain
