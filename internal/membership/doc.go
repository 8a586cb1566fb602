// Package membership keeps a router's view of which routers are alive. It is a
// pure reducer: events and the time go in, effects come out.
//
// The protocol is of the SWIM kind. In each period a router pings one or two of
// its neighbours and piggybacks recent updates. A neighbour that does not answer
// or whose connection is lost is suspected, and is dead after a timeout unless
// it refutes by raising the version of its record, which only it may do.
//
// In a small fleet every router is every other's neighbour. In a large one the
// neighbours are those at distances of powers of two on a hash ring, so that
// their number grows with the logarithm of the fleet and few of them change
// when a router joins or leaves.
//
// What a router learns on its own connections goes before what others say, and
// that before the instance list, which only gives addresses to dial.
package membership
