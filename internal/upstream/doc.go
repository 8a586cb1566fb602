// Package upstream sends requests to upstreams over net/http.
//
// A request is sent at most once: Client.Do assigns it one connection. If the
// transport retries by itself and chooses a second connection, that connection is
// sealed before a byte can be written to it. A Failure says whether a byte of the
// request may have reached the upstream.
//
// Streams of model services carry an id field of the form "<stream id>/<offset>"
// with each token. Offsets grow by one from 1; a chunk before the first token may
// have offset 0. A request with Last-Event-ID continues after the offset it names.
// A stream ends with the data "[DONE]".
package upstream
