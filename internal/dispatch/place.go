package dispatch

import (
	"slices"
	"time"
)

// The weights of a placement's score, in milliseconds. They answer the load of
// the users' sheets: long prompts delay the events of every stream that runs
// beside them, so short chats and long prompts are kept apart while there is
// room.
const (
	// harmWeight is the cost of delaying one running stream by a millisecond.
	harmWeight = 0.02
	// exposureWeight is the cost of each expected event that is generated beside
	// a millisecond of prompt work in ten.
	exposureWeight = 1.0
	// groupPenalty is the cost of placing a request on an upstream that the other
	// group prefers.
	groupPenalty = 400
	// domainPenalty is the cost of another failure domain, and lateDomainPenalty
	// that of one whose loads are known late: an upstream that looks idle there has
	// been picked by many routers meanwhile (docs/MEASURES.md, constants).
	domainPenalty     = 2
	lateDomainPenalty = 150
	// tieSpread separates upstreams of nearly the same score, so that routers which
	// see the same loads do not all pick the same one (docs/MEASURES.md, constants).
	tieSpread = 20
	// unsoundPenalty is the cost of an upstream that answers with errors only.
	unsoundPenalty = 400
)

// choice is an upstream with what is expected of it.
type choice struct {
	on *upstream
	// fetchFrom is the upstream that cached parts are copied from.
	fetchFrom *upstream
	// cached and read are the numbers of prompt tokens that need not be read and
	// that have to be.
	cached, read int
	// first is the predicted time to the first byte.
	first time.Duration
	// backlog is the prompt work queued there.
	backlog time.Duration
	score   float64
}

// place picks the upstream for a request. It returns false while none has room.
func (s *State) place(now time.Time, r *request) (best choice, ok bool) {
	var from source
	if s.engine(r.Service) != nil {
		from = s.fetchSource(now, r)
	}
	list := s.services[r.Service]
	best, ok = s.best(now, r, list, from, func(u *upstream) bool { return u.Domain == s.options.Domain })
	if ok && best.score <= s.leastElsewhere(r) {
		return best, ok
	}
	other, found := s.best(now, r, list, from, func(u *upstream) bool { return u.Domain != s.options.Domain })
	if found && (!ok || other.score < best.score) {
		return other, true
	}
	return best, ok
}

// best picks one of some upstreams.
func (s *State) best(now time.Time, r *request, list []*upstream, from source, of func(*upstream) bool) (best choice, ok bool) {
	for _, u := range list {
		if !of(u) || slices.Contains(r.avoid, u.ID) || !u.takesWork(now) || !s.health.Available(u.ID, now) || !s.hasRoom(now, r, u) {
			continue
		}
		c := s.weigh(now, r, u, from)
		if !ok || c.score < best.score {
			best, ok = c, true
		}
	}
	return best, ok
}

// leastElsewhere is a score that no upstream of another failure domain is under. Up to it
// they need not be weighed, of which there may be thousands.
func (s *State) leastElsewhere(r *request) float64 {
	least := float64(domainPenalty)
	if s.byDomain {
		least = lateDomainPenalty
	}
	if s.engine(r.Service) != nil {
		least += ms(s.options.FirstToken)
	}
	return least
}

// hasRoom reports whether an upstream can take a request now.
func (s *State) hasRoom(now time.Time, r *request, u *upstream) bool {
	e := s.engine(r.Service)
	if e == nil {
		return u.running() < s.health.Limit(u.ID, max(1, u.Slots), now)+plainOverbook
	}
	if u.running() >= s.health.Limit(u.ID, e.Slots, now) {
		return false
	}
	if r.sends == 0 && r.group == groupPrompt && u.group == groupOutput {
		return false
	}
	// An upstream without any prompt work takes a prompt of any length.
	limit := s.options.MaxBacklog
	if r.overShare {
		limit = idleBacklog
	}
	return u.prefill() == 0 || s.prefillTime(u.prefill()) < limit
}

// weigh predicts how a request would do on an upstream.
func (s *State) weigh(now time.Time, r *request, u *upstream, from source) choice {
	c := choice{on: u}
	if s.engine(r.Service) != nil {
		s.weighEngine(r, &c, from)
	} else {
		c.score = 50 * float64(u.running()) / float64(max(1, u.Slots))
	}
	switch {
	case u.Domain == s.options.Domain:
	case s.byDomain:
		c.score += lateDomainPenalty
	default:
		c.score += domainPenalty
	}
	c.score += tieSpread * spread(r.ID, u.key)
	slots := max(1, u.Slots)
	c.score += unsoundPenalty * (1 - float64(s.health.Limit(u.ID, slots, now))/float64(slots))
	return c
}

// weighEngine predicts the time to the first token and what the request does to
// the streams beside it.
func (s *State) weighEngine(r *request, c *choice, from source) {
	u, parts := c.on, r.Prompt.shared()
	have, _ := u.cache.prefix(parts, false, from.since)
	var copying time.Duration
	if from.tokens >= have+fetchMin && from.upstream != u {
		copying = s.options.FetchSetup + s.copyTime(r.Service, from.tokens-have)
		c.fetchFrom, have = from.upstream, from.tokens
	}
	c.cached, c.read = have, max(0, r.Prompt.Tokens-have)
	c.backlog = s.prefillTime(u.prefill())
	own := s.prefillTime(c.read)
	c.first = s.options.FirstToken + c.backlog + own + copying
	decoding := max(0, u.running())
	events := float64(r.Prompt.Output()) / float64(max(1, s.engine(r.Service).EventTokens))
	c.score = ms(c.first) + harmWeight*ms(own)*float64(decoding) + exposureWeight*events*u.reading
	if r.group != u.group {
		c.score += groupPenalty
	}
}

// source is an upstream that has read leading parts of a prompt.
type source struct {
	upstream *upstream
	tokens   int
	used     time.Time
	// since is from when on a part must have been used to be kept still.
	since time.Time
}

// fetchSource finds the upstream that has read most of a prompt's shared parts, and
// among those with as many the one that used them last.
func (s *State) fetchSource(now time.Time, r *request) (best source) {
	if d := s.divisions[r.Service]; d != nil {
		best.since = now.Add(-d.keep)
	}
	parts := r.Prompt.shared()
	if len(parts) == 0 {
		return best
	}
	for _, u := range s.services[r.Service] {
		n, used := u.cache.prefix(parts, true, best.since)
		if n > best.tokens || n > 0 && n == best.tokens && used.After(best.used) {
			best.upstream, best.tokens, best.used = u, n, used
		}
	}
	return best
}

// prefillTime is how long an engine takes to read prompt tokens.
func (s *State) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.options.PrefillRate * float64(time.Second))
}

// copyTime is how long engines take to copy cached tokens.
func (s *State) copyTime(service string, tokens int) time.Duration {
	e := s.engine(service)
	if e == nil || e.LinkBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * e.TokenBytes / e.LinkBytesPerSecond * float64(time.Second))
}

// spread is a number from 0 to 1 that depends on the request and the upstream. It
// mixes the bits of both as MurmurHash3's finalizer does.
func spread(id string, key uint32) float64 {
	h := uint64(Key(id))<<32 | uint64(key)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return float64(h>>11) / (1 << 53)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
