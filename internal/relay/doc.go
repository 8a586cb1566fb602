// Package relay decides how load reports travel in a fleet that is too large for every
// router to report to every other one.
//
// Each failure domain has two relays. A router sends its own report to the relays of its
// failure domain. A relay sends the sum of these reports back to those routers and to the
// relays of the other failure domains, and passes the sums of the other failure domains
// on to its own. What a router sends and receives therefore hardly grows with the fleet.
// In a small failure domain routers report to all others there, which is faster; its
// relays then only connect it with the other failure domains.
//
// Relays are not elected. All routers rank the registered routers alike, and each
// reports to the first two that answer it with sums; a router acts as a relay for those
// that report to it. State is a reducer without clock, network or goroutines. It is not
// safe for concurrent use.
package relay
