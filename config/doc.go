// Package config is the operators' library: it builds, checks and prints the
// configuration of a fleet, and reads the printed text back.
//
// A configuration names the organisations with their shares and API keys (as
// digests), the services they may reach, and the work that must never run
// twice. Its printed form is canonical: the same configuration always gives the
// same bytes and so the same digest.
package config
