// Package gateway is the HTTP front end of a router on a platform whose wire format an
// adapter translates. It accepts callers' requests, carries out the effects that
// internal/dispatch returns, forwards upstreams' answers as they arrive, follows the
// store, and exchanges reports with the other routers.
//
// Every scheduling decision is made by the dispatcher, under one lock; this package
// does the input and output.
package gateway
