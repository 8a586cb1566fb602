// Package engine implements a test double of a model inference engine. It does
// continuous batching, caches prompt prefixes in a cache of limited size, starts
// each request on arrival, resumes and cancels streams, and serves load reports
// with a configurable lag:
//
//	POST   /v1/chat/completions    "stream": true or false
//	DELETE /v1/streams/<id>        cancels a stream
//	PUT    /v1/orders/<name>       an order with a Fencing-Number
//	GET    /v1/orders              the orders that were applied, oldest first
//	GET    /health, GET /load
//
// An answer has max_tokens tokens, which are a function of the prompt, so that a
// caller can verify a complete answer; see Tokens. Each event of a stream has the
// id "<stream id>/<tokens so far>"; the same request with that id in
// Last-Event-ID resumes the stream after that event on a new connection.
//
// Faults are injected over a control port; see Engine.Control.
package engine
