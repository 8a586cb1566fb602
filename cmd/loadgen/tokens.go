package main

import "github.com/jujubeford/jujubeford/internal/standin/engine"

// answerTokens are the words of a stand-in engine's whole answer to a prompt.
func answerTokens(prompt string, n int) []string {
	return engine.Tokens(engine.Prompt([]engine.Message{{Role: "user", Content: prompt}}), n)
}
