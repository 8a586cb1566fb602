// Package dispatch decides, at one router, which upstream each request is sent to
// and which requests wait, are retried or are refused.
//
// A State is a reducer: Step takes an event and the time at which it happened, and
// returns effects as data. It does no I/O, reads no clock and starts no goroutine.
// Each router decides on its own requests only, using the load that the other
// routers last reported; no decision needs agreement between routers.
//
// The following invariants hold after every Step:
//   - a request has at most one attempt in flight, and no effect follows its
//     final one (Refuse or Fail);
//   - a request that may have run and must not run twice is never sent again
//     and never refused as not run;
//   - the load counted on an upstream is the sum of the attempts in flight there.
package dispatch
