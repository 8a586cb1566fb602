// Package faults holds the fault matrix, a simulation that injects every fault at
// every step. It runs the reducers of a few routers with a fake clock and with
// fakes for network, store, upstreams and callers. The package consists of tests
// only; `make faults` prints the matrix.
package faults
