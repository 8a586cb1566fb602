package coldstart

import "time"

// Source tells how a router knows that an upstream is cold.
type Source uint8

const (
	// Stated is the word of the upstream's entry in the directory.
	Stated Source = iota
	// Seen is what this router saw itself: a start, or an answer's word.
	Seen
	// Told is what other routers saw.
	Told
	// Assumed is what follows from an absence: the upstream did not answer for a while and
	// may have started anew.
	Assumed
	sources
)

// String returns the source's name in logs.
func (s Source) String() string { return [sources]string{"entry", "seen", "peers", "assumed"}[s] }

// Upstream is what a router knows of an upstream's temperature, and its part in what the
// upstream takes while it is cold.
type Upstream struct {
	// until is the end of the cold time, by source, and end the latest of them: each
	// placement asks for it.
	until [sources]time.Time
	end   time.Time
	// coldSince is when this router learnt that the upstream is cold, zero if it is not.
	coldSince time.Time
	// lastSent is when this router last sent a request, or counted one. It is kept while
	// the upstream is warm too, since it may become cold at any moment.
	lastSent time.Time
	part     part
}

// part is this router's part in a bound, for a version of the fleet.
type part struct {
	bound   Bound
	version int
	Division
	rank int
}

// SetCold records until when the upstream is cold by a source, and reports whether it
// becomes cold by that. The word of an entry replaces the one before; what was seen or told
// is only ever extended.
func (u *Upstream) SetCold(now time.Time, s Source, until time.Time) (became bool) {
	if s != Stated && !until.After(u.until[s]) {
		return false
	}
	before := u.Cold(now)
	u.until[s], u.end = until, time.Time{}
	for _, t := range u.until {
		if t.After(u.end) {
			u.end = t
		}
	}
	became = !before && u.Cold(now)
	if became {
		u.coldSince = now
	}
	return became
}

// Until returns the end of the time for which the upstream is cold.
func (u *Upstream) Until() time.Time { return u.end }

// UntilBy returns the end of the cold time by one source.
func (u *Upstream) UntilBy(s Source) time.Time { return u.until[s] }

// Cold reports whether the upstream is cold.
func (u *Upstream) Cold(now time.Time) bool { return now.Before(u.end) }

// Interval returns the time between two requests of this router while the upstream is cold;
// 0 if the router is not among the senders.
func (u *Upstream) Interval(f *Fleet, b Bound, id, domain string) time.Duration {
	u.updatePart(f, b, id, domain)
	if u.part.rank >= u.part.Senders {
		return 0
	}
	return u.part.Interval
}

func (u *Upstream) updatePart(f *Fleet, b Bound, id, domain string) {
	if u.part.bound != b || u.part.version != f.version {
		u.part = part{bound: b, version: f.version, Division: b.Divide(f.Size()), rank: f.Rank(id, domain)}
	}
}

// NextSend returns when this router may send the next request while the upstream is cold.
// It is the end of the cold time if the router is not among the senders.
func (u *Upstream) NextSend(f *Fleet, b Bound, id, domain string) time.Time {
	u.updatePart(f, b, id, domain)
	p := u.part
	if p.rank >= p.Senders {
		return u.Until()
	}
	// The senders begin one after the other, since requests may have arrived just before
	// the upstream was known to be cold.
	next := u.coldSince.Add(p.Interval * time.Duration(p.rank+1) / time.Duration(p.Senders))
	if after := u.lastSent.Add(p.Interval); after.After(next) {
		next = after
	}
	if until := u.Until(); next.After(until) {
		return until
	}
	return next
}

// Take counts a request that is sent. One that is sent before it is due delays the next.
func (u *Upstream) Take(now time.Time) {
	if u.Cold(now) && now.Before(u.lastSent.Add(u.part.Interval)) {
		u.lastSent = u.lastSent.Add(u.part.Interval)
		return
	}
	u.lastSent = now
}
