// Package peer is the transport between routers: TCP (optionally under TLS),
// a handshake that proves knowledge of the fleet's shared key, and yamux
// streams that carry protobuf envelopes.
//
// Each direction of a connection has one ordered control stream. Large
// configuration parts and query replies travel on streams of their own, so that
// they do not delay control messages.
//
// Between two routers at most one connection stands. The router with the
// smaller id decides which one, so both agree on it.
package peer
