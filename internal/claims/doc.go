// Package claims decides whether work that must run at most once may be sent.
//
// A claim is a record in the key-value service, made by compare-and-swap under
// the operation's key and holding the nonce of one attempt. The rules:
//
//   - Only the attempt whose nonce stands in the record may send, once.
//   - A record is taken over only after its holder said that its nonce was
//     never sent. A holder that said so never sends under that nonce, also when
//     its own write lands later.
//   - Whatever cannot be settled is refused: as not run if this request was
//     not sent and no other attempt is known, else as may-have-run.
//
// No rule depends on a clock, so a router that was paused can do no harm; times
// only bound how long a request waits. Nonces name the incarnation of their
// router, so an answer never speaks for another incarnation. Of finished
// operations nothing is kept but the record.
//
// The runtime answers each key-value effect with exactly one result, by a time
// of its own at the latest. The store must never give a key the same modify index twice, also not after
// a delete.
package claims
