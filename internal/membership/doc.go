// Package membership maintains a router's view of which routers are alive. It is a
// pure reducer: its inputs are events and the current time, its outputs are effects.
//
// The protocol is derived from SWIM. In each period a router pings one or two of
// its neighbours and piggybacks recent updates on the pings and acks. A neighbour
// that does not answer or whose connection is lost becomes suspect. It is declared
// dead after a timeout unless it refutes the suspicion by raising the version of
// its record, which only the router itself may do.
//
// In a small fleet all routers are neighbours of each other (full mesh). In a large
// one the neighbours are the routers at distances of powers of two on a hash ring,
// so that their number grows with the logarithm of the fleet's size and few of them
// change when a router joins or leaves.
//
// Evidence from a router's own connections takes precedence over gossip, and gossip
// over the instance list, which only provides addresses to dial.
package membership
