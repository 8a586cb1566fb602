package dispatch

import "time"

// prefixCache models the shared prompt parts that an engine is expected to have cached,
// based on the requests that routers sent to it. Like the engine it evicts the least
// recently used parts when it is full.
type prefixCache struct {
	parts map[uint64]*cachedPart
	size  int
	limit int
}

// cachedPart is one cached prompt part.
type cachedPart struct {
	tokens   int
	lastUsed time.Time
	// read means that the engine has read the part, so that other engines can copy it.
	read bool
}

// prefixTokens returns the number of leading tokens of a prompt that are cached, and
// when the least recently used of their parts was used. Parts not used since the given
// time are not counted and, if read is set, neither are those that have not been read.
func (c *prefixCache) prefixTokens(parts []Part, read bool, since time.Time) (tokens int, used time.Time) {
	for _, p := range parts {
		entry := c.parts[p.ID]
		if entry == nil || read && !entry.read || entry.lastUsed.Before(since) {
			break
		}
		if tokens == 0 || entry.lastUsed.Before(used) {
			used = entry.lastUsed
		}
		tokens += p.Tokens
	}
	return tokens, used
}

// useReportInterval is the time after its last known use from which another use of a
// part is reported to the peers. It is short compared with how long engines keep parts.
const useReportInterval = time.Second

// recordUse records that a request uses the parts; read marks them as read. It returns
// the parts to report to peers: new ones, newly read ones and those whose last known use
// is at least useReportInterval ago.
func (c *prefixCache) recordUse(now time.Time, parts []Part, read bool) (changed []Part) {
	if c.parts == nil {
		c.parts = make(map[uint64]*cachedPart)
	}
	for _, p := range parts {
		entry := c.parts[p.ID]
		if entry == nil {
			entry = &cachedPart{tokens: p.Tokens}
			c.parts[p.ID] = entry
			c.size += p.Tokens
			changed = append(changed, p)
		} else if read && !entry.read || now.Sub(entry.lastUsed) >= useReportInterval {
			changed = append(changed, p)
		}
		entry.lastUsed = now
		entry.read = entry.read || read
	}
	c.evict()
	return changed
}

// removeUnread removes those parts of a failed attempt that have not been read.
func (c *prefixCache) removeUnread(parts []Part) {
	for _, p := range parts {
		if entry := c.parts[p.ID]; entry != nil && !entry.read {
			c.remove(p.ID, entry)
		}
	}
}

func (c *prefixCache) remove(id uint64, entry *cachedPart) {
	delete(c.parts, id)
	c.size -= entry.tokens
}

// evict removes the least recently used parts until the rest fits the limit.
func (c *prefixCache) evict() {
	for c.limit > 0 && c.size > c.limit && len(c.parts) > 1 {
		var oldestID uint64
		var oldest *cachedPart
		for id, entry := range c.parts {
			if oldest == nil || entry.lastUsed.Before(oldest.lastUsed) || entry.lastUsed.Equal(oldest.lastUsed) && id < oldestID {
				oldestID, oldest = id, entry
			}
		}
		c.remove(oldestID, oldest)
	}
}

// cacheRetention returns how long an engine is expected to keep a part that is not used
// again: until it has read and generated as many tokens as its cache has room for. The
// parts of single requests evict the shared ones like any others, and what the other
// routers send is known only as a rate. This matters on days on which engines are full:
// a part then lasts for about 6 s, though all shared parts would fit many times over.
func cacheRetention(cacheTokens int, tokensPerSecond float64) time.Duration {
	const unbounded = time.Hour
	if tokensPerSecond <= 0 {
		return unbounded
	}
	seconds := cacheMemoryFraction * float64(cacheTokens) / tokensPerSecond
	return time.Duration(min(unbounded.Seconds(), seconds) * float64(time.Second))
}

// shared returns the parts of a prompt that other requests may have: all but the last.
func (p Prompt) shared() []Part {
	if len(p.Parts) < 2 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}
