package engine

import (
	"hash/fnv"
	"strings"
)

// A token is a word of syllables, each a consonant and a vowel.
const (
	consonants = "bdfgklmnprstvz"
	vowels     = "aeiou"
	// tokenSyllables is the number of syllables of a token.
	tokenSyllables = 2
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt returns the text from which an answer is computed: each message as
// "role: content" and a newline.
func Prompt(messages []Message) string {
	var prompt strings.Builder
	for _, m := range messages {
		prompt.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return prompt.String()
}

// Tokens returns the first n tokens of the answer to a prompt. Token i is a word
// made from a mix of the prompt's FNV-1a hash and i; the text of an answer is
// its tokens joined with spaces, see Text.
func Tokens(prompt string, n int) []string {
	seed := promptSeed(prompt)
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = token(seed, i)
	}
	return tokens
}

// Text returns the text of an answer of n tokens to a prompt.
func Text(prompt string, n int) string { return strings.Join(Tokens(prompt, n), " ") }

func promptSeed(prompt string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(prompt))
	return hash.Sum64()
}

// token returns the word at index i of the answer with this seed.
func token(seed uint64, i int) string {
	bits := mix(seed + uint64(i))
	var word [2 * tokenSyllables]byte
	for s := range tokenSyllables {
		word[2*s] = consonants[bits%uint64(len(consonants))]
		bits /= uint64(len(consonants))
		word[2*s+1] = vowels[bits%uint64(len(vowels))]
		bits /= uint64(len(vowels))
	}
	return string(word[:])
}

// mix spreads the bits of x; it is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// delta returns the text that token i adds to the answer.
func delta(seed uint64, i int) string {
	if i == 0 {
		return token(seed, i)
	}
	return " " + token(seed, i)
}
