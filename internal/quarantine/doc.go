// Package quarantine detects requests that crash the upstreams that run them,
// and decides how long such requests are refused. It is a pure reducer: events
// and the time go in, effects come out.
//
// A request is identified by its organisation and fingerprint. Routers send each
// other notices of crashes, so that a caller that turns to another router is
// refused there as well. A request is refused until fewer than CrashThreshold
// of its crashes are younger than CrashTTL, until an upstream completes it, or until an
// operator releases it.
package quarantine
