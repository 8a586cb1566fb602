// Package peer implements the transport between routers: TCP, optionally with
// TLS, a handshake in which both sides prove that they know the fleet's shared
// key, and yamux streams that carry protobuf envelopes.
//
// Each direction of a connection has one ordered control stream. Large
// configuration parts and query replies travel on streams of their own, so that
// they do not delay control messages.
//
// Two routers keep at most one connection between them. If several are opened,
// the router with the smaller id decides which one is kept, so that both sides
// keep the same one.
package peer
