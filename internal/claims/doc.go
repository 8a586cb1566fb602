// Package claims ensures that work that must run at most once is sent to an
// upstream at most once, across all routers.
//
// A claim is a record in the key-value service. It is written by
// compare-and-swap under the operation's key and holds the nonce of one attempt
// to run the operation. The rules:
//
//   - Only the attempt whose nonce is in the record may send the request, once.
//   - A record is taken over only after its holder has confirmed that nothing
//     was sent under its nonce. A holder that has confirmed this never sends
//     under that nonce, even if its own write takes effect later.
//   - If it cannot be determined whether the operation ran, the request is
//     refused: with outcome NotRun if the request was not sent and no other
//     attempt is known that may have run, otherwise with MayHaveRun.
//
// No rule depends on a clock, so a router that was paused cannot violate one;
// timeouts only bound how long a request waits. A nonce contains the incarnation
// of its router, so a router never answers for another incarnation. Nothing is
// kept of a finished operation except its record.
//
// The runtime must answer each key-value effect with exactly one result, within
// a timeout of its own. The store must never give a key the same modify index
// twice, not even after the key was deleted.
package claims
