// Package quarantine finds requests that crash the upstreams which run them and
// tells for how long they are to be refused. It is a pure reducer: events and
// the time go in, effects come out.
//
// A request is known by its organisation and fingerprint. Routers tell each
// other of crashes, so that a caller that turns to another router is refused
// there as well. An operator may release a request; otherwise it is released
// after a time.
package quarantine
