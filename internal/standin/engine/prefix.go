package engine

import (
	"strings"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// blockTokens is the number of prompt tokens in a block of the prefix cache.
const blockTokens = 16

// prefixCache remembers the blocks of prompts by the hash of all text up to
// their end.
type prefixCache struct {
	blocks *simplelru.LRU[uint64, struct{}]
}

// newPrefixCache makes a cache of at most size blocks; 0 caches nothing.
func newPrefixCache(size int) prefixCache {
	if size == 0 {
		return prefixCache{}
	}
	blocks, err := simplelru.NewLRU[uint64, struct{}](size, nil)
	if err != nil {
		panic(err) // only for a size below one
	}
	return prefixCache{blocks: blocks}
}

// lookupAndAdd caches a prompt and returns how many tokens it has and how many of them
// were cached before.
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
