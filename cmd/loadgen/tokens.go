package main

import "github.com/jujubeford/jujubeford/internal/standin/engine"

// answerTokens returns the first n tokens of a stand-in engine's answer to a prompt.
func answerTokens(prompt string, n int) []string {
	return engine.Tokens(engine.Prompt([]engine.Message{{Role: "user", Content: prompt}}), n)
}
