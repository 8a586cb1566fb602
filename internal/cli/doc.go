// Package cli holds the subcommands of jujubeford.
package cli
