// Package faults holds the fault matrix: every fault at every step, run on the
// reducers of a few routers with a fake clock and fakes at the interfaces. It
// has no code of its own outside its tests; `make faults` prints the matrix.
package faults
