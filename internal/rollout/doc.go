// Package rollout is the part of the reducer that brings a router to the newest
// generation of the configuration and never lets it return to an older one.
//
// A router learns of a generation in two ways: it polls the platform's key-value
// service, and peers send each other notices of a new generation and fetch its
// parts from one another. A router applies each generation at most once, and
// never one that is lower than the one in force. After a start it waits briefly
// for what the platform and its peers have, and then applies the highest
// generation found.
package rollout
