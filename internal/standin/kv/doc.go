// Package kv implements a test double of the platform: a key-value store with
// compare-and-swap, sessions and blocking queries, and an instance list that
// shows changes after a lag. All data is held in memory. The package implements
// the part of Consul's public HTTP API that package store/consul uses:
//
//	GET    /v1/kv/<key>[?recurse][?index=N&wait=T]
//	PUT    /v1/kv/<key>[?cas=N][?acquire=SESSION][?release=SESSION]
//	DELETE /v1/kv/<key>[?cas=N]
//	PUT    /v1/session/create, /v1/session/renew/<id>, /v1/session/destroy/<id>
//	GET    /v1/catalog/node-services/<node>[?index=N&wait=T]
//	PUT    /v1/catalog/register, /v1/catalog/deregister
//
// Reads and writes are rate limited. Faults are injected over a control port; see
// Server.Control.
package kv
