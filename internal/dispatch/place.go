package dispatch

import (
	"slices"
	"time"
)

// The weights of a placement's score, in milliseconds. Under the load in the users' data
// sheets, long prompts delay the events of every stream that runs beside them, so short
// chats and long prompts are kept on separate upstreams while there is room.
const (
	// streamDelayWeight is the cost of delaying one running stream by a millisecond.
	streamDelayWeight = 0.02
	// interferenceWeight is the cost of each expected event of the request on an
	// upstream that spends all its time on prefill; it scales with the fraction of
	// its time that goes there.
	interferenceWeight = 1.0
	// classPenalty is the cost of an upstream that is assigned to the other workload
	// class.
	classPenalty = 400
	// domainPenalty is the cost of another failure domain, and staleDomainPenalty
	// its cost while its loads are reported late: an upstream that looks idle there has
	// been picked by many routers meanwhile (docs/MEASURES.md, constants).
	domainPenalty      = 2
	staleDomainPenalty = 150
	// tieBreakSpread separates upstreams of nearly the same score, so that routers
	// with the same view of the loads do not all pick the same one
	// (docs/MEASURES.md, constants).
	tieBreakSpread = 20
	// unhealthyPenalty is scaled by the fraction of an upstream's slots that its
	// health limit withholds; the limit falls with errors and with slowness.
	unhealthyPenalty = 400
)

// candidate is an upstream considered for a request, with the predicted effects.
type candidate struct {
	upstream *upstream
	// fetchFrom is the upstream that cached parts are copied from, nil for none.
	fetchFrom *upstream
	// cachedTokens is the number of prompt tokens that are cached or copied, and
	// prefillTokens the number that has to be read.
	cachedTokens, prefillTokens int
	// firstByte is the predicted time to the first byte.
	firstByte time.Duration
	// backlog is the prefill work queued at the upstream.
	backlog time.Duration
	score   float64
}

// place returns the best upstream for a request, or false if none has room.
func (s *State) place(now time.Time, r *request) (best candidate, ok bool) {
	var source prefixSource
	if s.engine(r.Service) != nil {
		source = s.fetchSource(now, r)
	}
	list := s.services[r.Service]
	best, ok = s.bestUpstream(now, r, list, source, func(u *upstream) bool { return u.Domain == s.options.Domain })
	if ok && best.score <= s.minScoreElsewhere(r) {
		return best, ok
	}
	remote, found := s.bestUpstream(now, r, list, source, func(u *upstream) bool { return u.Domain != s.options.Domain })
	if found && (!ok || remote.score < best.score) {
		return remote, true
	}
	return best, ok
}

// bestUpstream returns the candidate with the lowest score among the eligible upstreams.
func (s *State) bestUpstream(now time.Time, r *request, list []*upstream, source prefixSource, eligible func(*upstream) bool) (best candidate, ok bool) {
	for _, u := range list {
		if !eligible(u) || !s.mayReach(r, u) || slices.Contains(r.failedUpstreams, u.ID) || !u.acceptsWork(now) || !s.health.Available(u.ID, now) || !s.hasRoom(now, r, u) {
			continue
		}
		c := s.evaluate(now, r, u, source)
		if !ok || c.score < best.score {
			best, ok = c, true
		}
	}
	return best, ok
}

// minScoreElsewhere returns a lower bound on the score of upstreams in other failure
// domains, of which there may be thousands. If the local domain offers a score up to
// it, they need not be evaluated.
func (s *State) minScoreElsewhere(r *request) float64 {
	score := float64(domainPenalty)
	if s.aggregatedByDomain {
		score = staleDomainPenalty
	}
	if s.engine(r.Service) != nil {
		score += milliseconds(s.options.FirstToken)
	}
	return score
}

// hasRoom reports whether an upstream can take a request now.
func (s *State) hasRoom(now time.Time, r *request, u *upstream) bool {
	if !u.limit.allows(now) || !s.paceAllows(now, r, u) {
		return false
	}
	e := s.engine(r.Service)
	if e == nil {
		return u.running() < s.health.SlotLimit(u.ID, max(1, u.Slots), now)+plainOvercommit
	}
	if u.running() >= s.health.SlotLimit(u.ID, e.Slots, now) {
		return false
	}
	if r.sends == 0 && r.class == classPrefill && u.class == classDecode && !s.hasSpareTime(e, r, u) {
		return false
	}
	// An upstream without queued prefill work takes a prompt of any length.
	limit := s.options.MaxBacklog
	if r.overShare {
		limit = idleBacklog
	}
	return (u.prefill() == 0 || s.prefillTimeAt(u, u.prefill()) < limit) && s.memoryAllows(e, r, u)
}

// evaluate predicts the effects of sending a request to an upstream, and scores them.
func (s *State) evaluate(now time.Time, r *request, u *upstream, source prefixSource) candidate {
	c := candidate{upstream: u}
	if s.engine(r.Service) != nil {
		s.evaluateEngine(r, &c, source)
	} else {
		c.score = 50 * plainLoad(u)
	}
	switch {
	case u.Domain == s.options.Domain:
	case s.aggregatedByDomain:
		c.score += staleDomainPenalty
	default:
		c.score += domainPenalty
	}
	c.score += tieBreakSpread * hashFraction(r.ID, u.key)
	slots := max(1, u.Slots)
	c.score += unhealthyPenalty * (1 - float64(s.health.SlotLimit(u.ID, slots, now))/float64(slots))
	return c
}

// evaluateEngine predicts the time to the first token and the delay that the request
// causes to the other streams at the engine.
func (s *State) evaluateEngine(r *request, c *candidate, source prefixSource) {
	u, parts := c.upstream, r.Prompt.shared()
	cached, _ := u.cache.prefixTokens(parts, false, source.usedSince)
	var copyTime time.Duration
	if source.tokens >= cached+minFetchTokens && source.upstream != u {
		copyTime = s.options.FetchSetup + s.copyTime(r.Service, source.tokens-cached)
		c.fetchFrom, cached = source.upstream, source.tokens
	}
	c.cachedTokens, c.prefillTokens = cached, max(0, r.Prompt.Tokens-cached)
	c.backlog = s.prefillTimeAt(u, u.prefill())
	prefill := s.prefillTimeAt(u, c.prefillTokens)
	c.firstByte = s.options.FirstToken + c.backlog + prefill + copyTime
	otherStreams := max(0, u.running())
	expectedEvents := float64(r.Prompt.ExpectedOutput()) / float64(max(1, s.engine(r.Service).EventTokens))
	c.score = milliseconds(c.firstByte) + streamDelayWeight*milliseconds(prefill)*float64(otherStreams) + interferenceWeight*expectedEvents*u.prefillBusy
	if r.class != u.class {
		c.score += classPenalty
	}
}

// prefixSource is an upstream that has read the leading parts of a prompt.
type prefixSource struct {
	upstream *upstream
	tokens   int
	lastUsed time.Time
	// usedSince is the time since which a part must have been used to be still cached.
	usedSince time.Time
}

// fetchSource returns the upstream that has read the most leading tokens of a prompt's
// shared parts; among equals, the one that used them most recently.
func (s *State) fetchSource(now time.Time, r *request) (best prefixSource) {
	if p := s.partitions[r.Service]; p != nil {
		best.usedSince = now.Add(-p.cacheRetention)
	}
	parts := r.Prompt.shared()
	if len(parts) == 0 {
		return best
	}
	for _, u := range s.services[r.Service] {
		if !s.mayReach(r, u) {
			continue
		}
		n, used := u.cache.prefixTokens(parts, true, best.usedSince)
		if n > best.tokens || n > 0 && n == best.tokens && used.After(best.lastUsed) {
			best.upstream, best.tokens, best.lastUsed = u, n, used
		}
	}
	return best
}

// prefillTime returns how long an engine of mean speed takes to read a number of prompt tokens.
func (s *State) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.options.PrefillRate * float64(time.Second))
}

// copyTime returns how long engines take to copy a number of cached tokens.
func (s *State) copyTime(service string, tokens int) time.Duration {
	e := s.engine(service)
	if e == nil || e.LinkBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * e.TokenBytes / e.LinkBytesPerSecond * float64(time.Second))
}

// hashFraction returns a number from 0 to 1 that is determined by the request and the
// upstream. It mixes their bits with MurmurHash3's finalizer.
func hashFraction(id string, key uint32) float64 {
	h := uint64(Key(id))<<32 | uint64(key)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return float64(h>>11) / (1 << 53)
}

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
