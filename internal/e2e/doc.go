// Package e2e tests a small fleet of real processes: the platform, engines, a
// plain service and routers, all on loopback ports. It consists of tests only.
// The tests poll for the states that they expect and make no assertions on
// timing.
package e2e
