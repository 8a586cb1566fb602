// Package router is the router as a library. It accepts callers' requests over HTTP,
// shares the upstreams fairly with the other routers of the fleet, and gives each
// caller either one complete answer or an explicit error.
//
//	r, err := router.New(options)
//	if err != nil { ... }
//	err = r.Run(ctx) // until ctx ends, or Drain has finished
//
// All decisions are made by the reducer (internal/reducer), a state machine that
// turns events into effects. This package posts the events and executes the effects.
package router
