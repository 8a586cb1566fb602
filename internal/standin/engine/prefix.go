package engine

import (
	"strings"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// blockTokens is the number of prompt tokens in a block of the prefix cache.
const blockTokens = 16

// prefixCache is an LRU cache of prompt blocks, keyed by the hash of all words of
// the prompt up to the end of the block.
type prefixCache struct {
	blocks *simplelru.LRU[uint64, struct{}]
}

// newPrefixCache returns a cache of at most size blocks; 0 disables caching.
func newPrefixCache(size int) prefixCache {
	if size == 0 {
		return prefixCache{}
	}
	blocks, err := simplelru.NewLRU[uint64, struct{}](size, nil)
	if err != nil {
		panic(err) // only possible for a negative size
	}
	return prefixCache{blocks: blocks}
}

// lookupAndAdd returns the number of tokens of a prompt and how many of them, from
// its start, were cached, and then caches the prompt's complete blocks.
func (c prefixCache) lookupAndAdd(prompt string) (tokens, cached int) {
	words := strings.Fields(prompt)
	if c.blocks == nil {
		return len(words), 0
	}
	hit := true
	var hash uint64
	for end := blockTokens; end <= len(words); end += blockTokens {
		for _, word := range words[end-blockTokens : end] {
			hash = mix(hash ^ promptSeed(word))
		}
		_, known := c.blocks.Get(hash)
		hit = hit && known
		if hit {
			cached = end
		}
		c.blocks.Add(hash, struct{}{})
	}
	return len(words), cached
}
