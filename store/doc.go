// Package store declares the interfaces through which routers use the platform:
// its key-value service (compare-and-swap, leases, watches) and its instance
// list. Adapters implement them for one platform each; every adapter has to pass
// the contract tests in package storetest.
package store
