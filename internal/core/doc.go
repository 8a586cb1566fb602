// Package core holds the vocabulary that the reducers and the runtime share:
// identifiers, events, effects and outcomes. It has no behaviour of its own.
//
// Events go into Step; effects come out as data and are carried out by the
// runtime, which feeds their results back as events. Step takes no lock, reads
// no clock, draws no random number and starts no goroutine.
package core
