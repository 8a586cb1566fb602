// Package storetest specifies the contract of store.Store and store.Directory as
// tests. The tests of an adapter call Run and RunDirectory with a function that
// starts a fresh platform and returns the adapter and a switch for the platform's
// faults. RunCommon is for stores whose leases behave otherwise.
package storetest
