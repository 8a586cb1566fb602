// Package engine is a small stand-in for a model engine. It batches
// continuously, caches prompt prefixes in limited memory, admits each request as
// it arrives, resumes and cancels streams, and reports its load late:
//
//	POST   /v1/chat/completions    "stream": true or false
//	DELETE /v1/streams/<id>        cancels a stream
//	PUT    /v1/orders/<name>       an order with a Fencing-Number
//	GET    /v1/orders              the orders that were obeyed, in order
//	GET    /health, GET /load
//
// An answer has max_tokens tokens, and its tokens follow from the prompt, so
// that a caller can check a whole answer; see Tokens. Each event of a stream has
// an id "<stream id>/<tokens so far>"; the same request with that id in
// Last-Event-ID goes on from there on a new connection.
//
// Its faults are switched on over a control port; see Control.
package engine
