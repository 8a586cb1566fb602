package main

import (
	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/jujubeford/jujubeford/config"
)

// printConfig is the text of a configuration as "jujubeford config submit"
// takes it.
func printConfig(c *config.Config) ([]byte, error) {
	text, err := yaml.Marshal(c)
	return text, errors.Wrap(err, "print configuration")
}
