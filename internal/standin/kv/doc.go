// Package kv is a small stand-in for the platform: a key-value service with
// compare-and-swap, sessions and blocking queries, and an instance list that
// lags. It keeps everything in memory and speaks the part of Consul's published
// HTTP API that package platform/consul uses:
//
//	GET    /v1/kv/<key>[?recurse][?index=N&wait=T]
//	PUT    /v1/kv/<key>[?cas=N][?acquire=SESSION][?release=SESSION]
//	DELETE /v1/kv/<key>[?cas=N]
//	PUT    /v1/session/create, /v1/session/renew/<id>, /v1/session/destroy/<id>
//	GET    /v1/catalog/node-services/<node>[?index=N&wait=T]
//	PUT    /v1/catalog/register, /v1/catalog/deregister
//
// Its rates are limited, and its faults are switched on over a control port; see
// Control.
package kv
