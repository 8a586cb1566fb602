package dispatch

import "time"

const (
	// limitBurst bounds the number of routers that send to a limited upstream: all of them
	// may send a request at the same moment, which must not be more than the upstream takes in
	// this time.
	limitBurst = time.Second
	// minLimit is the least rate, in requests per second, at which a limited upstream gets
	// requests: their answers tell when the limit ends.
	minLimit = 0.1
	// maxLimit is the rate from which a limit counts as none. It bounds what reports say.
	maxLimit = 1e6
	// limitEndMemory is how long the end of a limit is reported to peers.
	limitEndMemory = 10 * time.Second
)

// rateLimit is what is known of the limit that an upstream in need has named on the requests
// of all routers together, and this router's part in it. The limit is divided without an
// exchange of counts, since those arrive too late in a large fleet: a few of the registered
// routers, the same ones by the view of each router, may send to the upstream, at equal rates.
type rateLimit struct {
	// perSecond is the limit in requests per second, 0 if there is none. heardAt is when
	// an answer stated that, here or at a peer.
	perSecond float64
	heardAt   time.Time
	// endedAt is when the limit ended, zero if there was none.
	endedAt time.Time
	// part is the rate at which this router may send, and tokens the number of requests
	// that it may send now. It is negative after requests that had to go there, because
	// the memory that they continue from is there.
	part       float64
	tokens     float64
	refilledAt time.Time
}

// Limit is a report of an upstream's limit.
type Limit struct {
	// PerSecond is the limit in requests per second, 0 if the upstream no longer names one.
	PerSecond float64
	// Age is the time since an answer stated that.
	Age time.Duration
}

// refill adds the tokens since the last call, up to one.
func (l *rateLimit) refill(now time.Time) {
	l.tokens = min(1, l.tokens+l.part*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
}

// allows reports whether a request may be sent.
func (l *rateLimit) allows(now time.Time) bool {
	if l.perSecond == 0 {
		return true
	}
	l.refill(now)
	return l.tokens >= 1
}

// take counts a request that is sent.
func (l *rateLimit) take(now time.Time) {
	if l.perSecond > 0 {
		l.refill(now)
		l.tokens--
	}
}

// report returns what peers are told of the limit, and false if that is nothing.
func (l *rateLimit) report(now time.Time) (Limit, bool) {
	if l.perSecond == 0 && (l.endedAt.IsZero() || now.Sub(l.endedAt) > limitEndMemory) {
		return Limit{}, false
	}
	return Limit{PerSecond: l.perSecond, Age: max(0, now.Sub(l.heardAt))}, true
}

// setLimit applies a statement of an upstream's limit, 0 for none, unless a later one is known.
func (s *State) setLimit(now time.Time, u *upstream, perSecond float64, heardAt time.Time) {
	l := &u.limit
	if !heardAt.After(l.heardAt) {
		return
	}
	l.heardAt = heardAt
	if perSecond >= maxLimit {
		perSecond = 0
	} else if perSecond > 0 {
		perSecond = max(perSecond, minLimit)
	}
	if perSecond == l.perSecond {
		return
	}
	before := l.perSecond
	switch {
	case before == 0:
		// What was sent just before has used up the first tokens.
		l.tokens, l.refilledAt = 0, now
	case perSecond == 0:
		l.endedAt = now
	default:
		l.refill(now)
	}
	l.perSecond = perSecond
	l.part = s.limitPart(u)
	s.emit(LimitChanged{Upstream: u.Instance, PerSecond: perSecond, Before: before, Part: l.part, Age: now.Sub(heardAt), Routers: len(s.routers)})
}

// limitPart returns the rate at which this router may send to a limited upstream. The
// routers that send are the first in an order that differs from upstream to upstream.
func (s *State) limitPart(u *upstream) float64 {
	senders := min(max(1, int(u.limit.perSecond*limitBurst.Seconds())), max(1, len(s.routers)))
	own, rank := hashFraction(s.self, u.key), 0
	for _, router := range s.routers {
		if f := hashFraction(router, u.key); f < own || f == own && router < s.self {
			rank++
		}
	}
	if rank >= senders {
		return 0
	}
	return u.limit.perSecond / float64(senders)
}

// setRouters applies a change of the registered routers to the parts in all limits.
func (s *State) setRouters(now time.Time, self string, routers []string) {
	s.self, s.routers = self, routers
	for _, u := range s.upstreams {
		if u.limit.perSecond > 0 {
			u.limit.refill(now)
			u.limit.part = s.limitPart(u)
		}
	}
}
