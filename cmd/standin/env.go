package main

import (
	"flag"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// envPrefix is the prefix of the environment variables for flags, such as
// JUJUBEFORD_STANDIN_TOKEN_TIME for -token-time.
const envPrefix = "JUJUBEFORD_STANDIN_"

// envName returns the environment variable of a flag.
func envName(flagName string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// setFromEnv sets the flags that are not on the command line from the environment.
// The error names every variable with an invalid value.
func setFromEnv(flags *flag.FlagSet) error {
	onCommandLine := make(map[string]bool)
	flags.Visit(func(f *flag.Flag) { onCommandLine[f.Name] = true })
	var messages []string
	flags.VisitAll(func(f *flag.Flag) {
		value, found := os.LookupEnv(envName(f.Name))
		if !found || onCommandLine[f.Name] {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			messages = append(messages, envName(f.Name)+": "+err.Error())
		}
	})
	if len(messages) > 0 {
		return errors.New(strings.Join(messages, "; "))
	}
	return nil
}
