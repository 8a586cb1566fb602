// Package offload decides which router of a failure domain takes a connection for which
// this router has no processor time.
//
// The load that it answers: the platform assigns connections by a hash of the caller, so
// the callers of one busy organisation reach one router, which may have a fraction of a
// core, while others of the domain are idle. State is a reducer without I/O: the routers
// report how much processor time they could spend on connections of others, and Choose
// spends it.
package offload
