package dispatch

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/coldstart"
)

const (
	// maxCold bounds the time for which an upstream can say that it is cold, so that a
	// wrong value does not hold requests from it indefinitely. The users' upstreams are
	// cold for seconds.
	maxCold = 10 * time.Minute
	// coldNewsTokens is what the news of a cold upstream adds to UnreportedTokens: as much
	// as makes a router report at its next interval.
	coldNewsTokens = 2000
	// minWarmth is the least part of a usual upstream that a cold one counts as.
	minWarmth = 0.05
)

// ColdChanged tells that this router has learnt that an upstream is cold, for Left, or that
// it no longer is. Interval is the time between two requests of this router to it; 0 if it
// is not among those that send.
type ColdChanged struct {
	Upstream       Instance
	Left, Interval time.Duration
	Source         coldstart.Source
}

// RequestID implements Effect. The effect concerns no single request.
func (ColdChanged) RequestID() string { return "" }

// coldBound returns what an upstream of a service tolerates while it is cold, and false if
// that is not bounded.
func (s *State) coldBound(service string) (coldstart.Bound, bool) {
	if s.table == nil {
		return coldstart.Bound{}, false
	}
	sv := s.table.Service(service)
	if sv == nil || sv.Cold == nil {
		return coldstart.Bound{}, false
	}
	return coldstart.Bound{
		Duration: sv.Cold.Duration, PerSecond: sv.Cold.PerSecond,
		Most: sv.Cold.PerSecond*max(1, s.options.ColdOverage) + s.options.ColdSlack,
	}, true
}

// isCold reports whether an upstream is cold and its service bounds what it gets then.
func (s *State) isCold(now time.Time, u *upstream) bool {
	if !u.cold.Cold(now) {
		return false
	}
	_, bounded := s.coldBound(u.Service)
	return bounded
}

// setCold records until when an upstream is cold.
func (s *State) setCold(now time.Time, u *upstream, source coldstart.Source, until time.Time) {
	if latest := now.Add(maxCold); until.After(latest) {
		until = latest
	}
	if !u.cold.SetCold(now, source, until) {
		return
	}
	bound, bounded := s.coldBound(u.Service)
	if !bounded {
		return
	}
	if source == coldstart.Seen {
		s.unreportedTokens += coldNewsTokens
	}
	u.countedCold = true
	s.emit(ColdChanged{Upstream: u.Instance, Left: until.Sub(now), Interval: u.cold.Interval(&s.fleet, bound, u.ID, u.Domain), Source: source})
}

// assumeCold treats an upstream that has started, or may have started, as cold until it can
// no longer be, counted from a time.
func (s *State) assumeCold(now time.Time, u *upstream, from time.Time) {
	if bound, ok := s.coldBound(u.Service); ok {
		s.setCold(now, u, coldstart.Seen, from.Add(bound.Duration))
	}
}

// applyColdEntry applies what an upstream's entry says of its temperature. One that is new
// has just started, unless the list is this router's first.
func (s *State) applyColdEntry(now time.Time, u *upstream, isNew bool) {
	s.setCold(now, u, coldstart.Stated, u.ColdUntil)
	if !isNew || !s.listed {
		return
	}
	if !u.ColdStated {
		s.assumeCold(now, u, now)
	}
	s.startPace(now, u)
}

// nextColdSend returns when this router may send the next request to an upstream: now if
// the upstream is not cold.
func (s *State) nextColdSend(now time.Time, u *upstream) time.Time {
	if !u.cold.Cold(now) {
		return now
	}
	bound, bounded := s.coldBound(u.Service)
	if !bounded {
		return now
	}
	return laterOf(now, u.cold.NextSend(&s.fleet, bound, u.ID, u.Domain))
}

// paceAllows reports whether this router may send a request to an upstream now, as far as
// its temperature and its pace go.
func (s *State) paceAllows(now time.Time, r *request, u *upstream) bool {
	if s.nextColdSend(now, u).After(now) || !s.windowAllows(now, r, u) {
		s.held++
		return false
	}
	return true
}

// MayReach reports whether the temperature of an attempt's upstream allows it to be sent now.
// Connecting takes time, in which the upstream may have become cold, and in which others
// may have become due.
func (s *State) MayReach(now time.Time, id string, attempt int) bool {
	r := s.activeRequest(id, attempt)
	if r == nil || !s.isCold(now, r.upstream) || r.sentCold && now.Sub(r.sentAt) <= coldstart.MaxDelay {
		return true
	}
	if s.nextColdSend(now, r.upstream).After(now) {
		return false
	}
	r.upstream.cold.Take(now)
	return true
}

// warmth returns what an upstream counts as, from 0 to 1: a cold one as the part of its
// time for which the requests that it tolerates keep it busy.
func (s *State) warmth(now time.Time, u *upstream) float64 {
	if !u.cold.Cold(now) {
		return 1
	}
	bound, bounded := s.coldBound(u.Service)
	if !bounded {
		return 1
	}
	usual := s.usualRate(u.Service)
	if usual <= 0 {
		return 1
	}
	return min(1, max(minWarmth, bound.PerSecond/usual))
}

// usualRate returns the requests a second that an upstream of a service can read, by the
// mean size of the requests that were sent; 0 if it is not known.
func (s *State) usualRate(service string) float64 {
	if s.engine(service) == nil || s.meanPrompt <= 0 {
		return 0
	}
	return s.options.PrefillRate / s.meanPrompt
}

// promptWeight is the weight of a request in the mean size of prompts.
const promptWeight = 0.02

// recordPrompt counts the prompt tokens that an engine has to read for a request.
func (s *State) recordPrompt(service string, tokens int) {
	switch {
	case s.engine(service) == nil:
		return
	case s.meanPrompt == 0:
		s.meanPrompt = float64(tokens)
	}
	s.meanPrompt += promptWeight * (float64(tokens) - s.meanPrompt)
}

// noteUnreachable records that nothing listens at an upstream: it has ended, and is cold
// once it is back.
func (s *State) noteUnreachable(now time.Time, u *upstream) {
	s.assumeCold(now, u, laterOf(now, u.unavailableUntil))
	s.recordEnd(now, u)
}

// endCold emits the ends of cold times.
func (s *State) endCold(now time.Time) {
	for _, u := range s.upstreamsWhere(func(u *upstream) bool { return u.countedCold && !s.isCold(now, u) }) {
		u.countedCold = false
		s.emit(ColdChanged{Upstream: u.Instance})
	}
}

// reportCold returns the upstreams that this router itself has seen to be cold, with the
// time left. What peers told is not passed on: each hop would prolong it.
func (s *State) reportCold(now time.Time) map[uint32]time.Duration {
	var cold map[uint32]time.Duration
	for _, u := range s.upstreams {
		if left := u.cold.UntilBy(coldstart.Seen).Sub(now); left > 0 {
			if cold == nil {
				cold = make(map[uint32]time.Duration)
			}
			cold[u.key] = left
		}
	}
	return cold
}

// learnCold applies what peers have seen.
func (s *State) learnCold(now time.Time, cold map[uint32]time.Duration) {
	for key, left := range cold {
		if u := s.byKey[key]; u != nil {
			s.setCold(now, u, coldstart.Told, now.Add(left))
		}
	}
}

// addCold adds the cold upstreams of another report; the longer time left counts.
func (r *Report) addCold(o Report) {
	for key, left := range o.Cold {
		if r.Cold == nil {
			r.Cold = make(map[uint32]time.Duration)
		}
		r.Cold[key] = max(r.Cold[key], left)
	}
}

// ColdUpstreams returns the number of cold upstreams.
func (s *State) ColdUpstreams(now time.Time) (n int) {
	for _, u := range s.upstreams {
		if s.isCold(now, u) {
			n++
		}
	}
	return n
}
