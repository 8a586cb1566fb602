// Package config is the library with which operators write the configuration of
// a fleet. It builds, checks, prints and parses configurations.
//
// A configuration lists the organisations with their shares and the digests of
// their API keys, the services that each may call, and the requests that must
// run at most once. Its printed form is canonical: equal configurations print
// the same bytes and have the same digest.
package config
