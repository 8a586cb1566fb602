package dispatch

import "time"

// prefixCache is what an engine is expected to keep of shared prompt parts. It
// follows what routers sent there: the engine drops the parts that were used
// least recently when memory runs out, and so does this.
type prefixCache struct {
	parts map[uint64]*cachedPart
	size  int
	limit int
}

// cachedPart is one cached part.
type cachedPart struct {
	tokens   int
	lastUsed time.Time
	// read means that the part has been read, so that others can copy it.
	read bool
}

// prefixTokens returns how many leading tokens of a prompt are kept, and when the one of
// these parts that was used least recently was used. Parts not used since a time do
// not count, and with read only those that have been read.
func (c *prefixCache) prefixTokens(parts []Part, read bool, since time.Time) (tokens int, used time.Time) {
	for _, p := range parts {
		k := c.parts[p.ID]
		if k == nil || read && !k.read || k.lastUsed.Before(since) {
			break
		}
		if tokens == 0 || k.lastUsed.Before(used) {
			used = k.lastUsed
		}
		tokens += p.Tokens
	}
	return tokens, used
}

// useReportInterval is how long after its last known use another use of a part is news to the
// other routers: a small part of the time for which engines keep it.
const useReportInterval = time.Second

// recordUse notes that parts are used by a request; read marks them as read. It
// returns the parts that were not known in this state before, or not as in use.
func (c *prefixCache) recordUse(now time.Time, parts []Part, read bool) (changed []Part) {
	if c.parts == nil {
		c.parts = make(map[uint64]*cachedPart)
	}
	for _, p := range parts {
		k := c.parts[p.ID]
		if k == nil {
			k = &cachedPart{tokens: p.Tokens}
			c.parts[p.ID] = k
			c.size += p.Tokens
			changed = append(changed, p)
		} else if read && !k.read || now.Sub(k.lastUsed) >= useReportInterval {
			changed = append(changed, p)
		}
		k.lastUsed = now
		k.read = k.read || read
	}
	c.evict()
	return changed
}

// removeUnread drops parts that a failed attempt was to read.
func (c *prefixCache) removeUnread(parts []Part) {
	for _, p := range parts {
		if k := c.parts[p.ID]; k != nil && !k.read {
			c.remove(p.ID, k)
		}
	}
}

func (c *prefixCache) remove(id uint64, k *cachedPart) {
	delete(c.parts, id)
	c.size -= k.tokens
}

// evict drops the parts used least recently until the rest fits.
func (c *prefixCache) evict() {
	for c.limit > 0 && c.size > c.limit && len(c.parts) > 1 {
		var oldest uint64
		var least *cachedPart
		for id, k := range c.parts {
			if least == nil || k.lastUsed.Before(least.lastUsed) || k.lastUsed.Equal(least.lastUsed) && id < oldest {
				oldest, least = id, k
			}
		}
		c.remove(oldest, least)
	}
}

// cacheRetention is for how long an engine is expected to keep a part that is not used
// again: until as many tokens as its cache has room for have been read and generated
// there. Requests' own parts push out the shared ones like any other, and what other
// routers send is known as a rate only. It answers days on which engines are full:
// there a part lasts for about 6 s, though all shared parts would fit many times over.
func cacheRetention(cacheTokens int, tokensPerSecond float64) time.Duration {
	const unbounded = time.Hour
	if tokensPerSecond <= 0 {
		return unbounded
	}
	seconds := cacheMemoryFraction * float64(cacheTokens) / tokensPerSecond
	return time.Duration(min(unbounded.Seconds(), seconds) * float64(time.Second))
}

// shared are the parts of a prompt that other requests may have, all but the
// last.
func (p Prompt) shared() []Part {
	if len(p.Parts) < 2 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}
