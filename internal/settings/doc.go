// Package settings reads a command's settings from flags and environment
// variables.
//
// Each flag is also an environment variable: -max-body is JUJUBEFORD_MAX_BODY.
// The flag goes first. All faults are found at once, so that a start is not
// corrected one fault at a time.
//
// A command registers its settings in SetFlags and calls Resolve once the flags
// are parsed. Unknown flags are refused by the flag package itself.
package settings
