package main

import "github.com/jujubeford/jujubeford/internal/loadgen/client"

// answerTokens are the words of a stand-in engine's whole answer to a prompt.
var answerTokens client.Tokens
