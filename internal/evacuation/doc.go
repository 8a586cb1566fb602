// Package evacuation decides which failure domains are evacuated: nothing new is sent to the
// upstreams of a domain from the operator's request until it is taken back. It is a state
// without clock and network; the requests come from the router's copy of the store.
package evacuation
