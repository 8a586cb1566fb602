// Package router is the router as a library: it takes callers' requests over
// HTTP, shares the upstreams fairly with the other routers of the fleet, and
// answers each caller with one whole answer or an honest refusal.
//
//	r, err := router.New(options)
//	if err != nil { ... }
//	err = r.Run(ctx) // until ctx ends, or Drain has finished
//
// All decisions are made by the reducer (internal/reducer); this package
// carries its effects out.
package router
