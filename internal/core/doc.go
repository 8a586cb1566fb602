// Package core defines the types that the reducers and the runtime share:
// identifiers, events, effects and outcomes. It has no behaviour of its own.
//
// Events are passed to Step. Effects are returned as data and carried out by
// the runtime, which feeds their results back as events. Step takes no lock,
// reads no clock, draws no random number and starts no goroutine.
package core
