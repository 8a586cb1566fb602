// Package poison finds requests that crash the upstreams that run them, and decides how
// long they are refused. It is a pure reducer: events and the time go in, and Facts for
// the other routers come out.
//
// Requests are told apart by their traits: the fingerprint that repetitions share, and the
// parts of their prompts that other requests may share. When an upstream crashes, each trait of the requests that were in flight there comes under suspicion.
// It is cleared when a request with it succeeds, and blocked when enough crashes have
// followed each other without that. Routers exchange what they see, so that a caller that
// turns to another router is refused there as well.
package poison
