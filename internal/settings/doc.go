// Package settings reads a command's settings from flags and environment
// variables.
//
// Each flag has an environment variable: that of -max-body is JUJUBEFORD_MAX_BODY.
// The flag takes precedence. All invalid settings are reported together, so that
// an operator can correct them all before the next start.
//
// A command registers its settings in SetFlags and calls Resolve after the flags
// are parsed. Unknown flags are rejected by the flag package itself.
package settings
