// Package e2e tests a small fleet of real processes: the platform, engines, a
// plain service and routers, all on loopback ports. It has no code of its own
// outside its tests. Verdicts wait by polling and assert no times.
package e2e
