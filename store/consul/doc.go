// Package consul implements store.Store and store.Directory over Consul's
// published HTTP API. It maps compare-and-swap to check-and-set, leases to
// sessions, watches to blocking queries, and the instance list to the services of
// a single catalog node, so that one call reads all instances.
//
// The failure domain and the state of an instance are service metadata under the
// keys "domain" and "state".
//
// Each method makes one call. A write is never sent twice. A read may be: net/http's
// transport resends it if an idle connection turns out to be closed. The package
// counts calls, see Stats, but does not limit their rate.
package consul
