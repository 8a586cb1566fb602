package poison

import (
	"slices"
	"time"
)

// judge blocks those of the pending traits that enough crashes speak against.
func (s *State) judge(now time.Time) {
	s.blockWorst(now, KindPart)
	s.pending = slices.DeleteFunc(s.pending, func(t Trait) bool {
		p := s.suspicions[t]
		if p == nil {
			return true
		}
		p.pending = len(p.crashes) > 0 && !s.settled(now, t.Kind, p.crashes[len(p.crashes)-1])
		return !p.pending
	})
}

// judgeRequests judges requests, which does not wait for a Tick: a caller may repeat one
// that crashes upstreams at once.
func (s *State) judgeRequests(now time.Time) { s.blockWorst(now, KindRequest) }

// blockWorst blocks pending traits up to a kind, the most suspect one first.
func (s *State) blockWorst(now time.Time, upTo Kind) {
	for {
		worst, crashes := s.worst(now, upTo)
		if len(crashes) == 0 {
			return
		}
		for _, t := range append(s.rivals(now, worst, crashes), worst) {
			p := s.suspicions[t]
			s.block(now, t, p, Change{Trait: t, Blocked: true, Crashes: len(crashes)}, now.Add(BlockTime))
			s.news = append(s.news, Fact{Kind: FactBlocked, Trait: t, Proven: p.proven, Left: BlockTime - leftUnit})
		}
	}
}

// settled reports whether all routers have had time to tell which requests were in flight
// at a crash. For requests that is not waited for: refusing one by mistake does little
// harm, while its caller may repeat it at once.
func (s *State) settled(now time.Time, kind Kind, c suspectedCrash) bool {
	return kind == KindRequest || now.Sub(c.at) >= s.settleTime
}

// maxPrefix bounds the number of parts before a part that are looked at.
const maxPrefix = 16

// precedes reports whether a part stands before another one in its prompts.
func (s *State) precedes(first, second Trait) bool {
	for range maxPrefix {
		p := s.suspicions[second]
		if p == nil || p.before == 0 {
			return false
		}
		if second = (Trait{KindPart, p.before}); second == first {
			return true
		}
	}
	return false
}

// block blocks a trait. Requests that were blocked before and whose crashes a part explains
// are released: those that hold the part are refused for it.
func (s *State) block(now time.Time, t Trait, p *suspicion, c Change, until time.Time) {
	if s.BlockedTraits(now) >= maxBlocked {
		s.dropOldest(func(p *suspicion) bool { return now.Before(p.blockedUntil) })
	}
	p.blockedUntil = until
	s.suspicions[t] = p
	s.blocked = append(s.blocked, t)
	s.succeeded.remove(t)
	s.changes = append(s.changes, c)
	if t.Kind != KindPart {
		return
	}
	for _, other := range slices.Clone(s.blockedNow(now)) {
		if q := s.suspicions[other]; s.explainedByPart(now, other, q) {
			q.blockedUntil = time.Time{}
			s.changes = append(s.changes, Change{Trait: other, Crashes: len(q.crashes)})
		}
	}
}

// explainedByPart reports whether a blocked part was in flight at each crash of a request.
func (s *State) explainedByPart(now time.Time, t Trait, p *suspicion) bool {
	if t.Kind != KindRequest || len(p.crashes) == 0 {
		return false
	}
	blocked := s.blockedNow(now)
	return !slices.ContainsFunc(p.crashes, func(c suspectedCrash) bool {
		return !slices.ContainsFunc(blocked, func(other Trait) bool {
			return other.Kind == KindPart && s.runs[c.run].has(other)
		})
	})
}

// worst returns the pending trait, up to a kind, that most crashes speak against, and these
// crashes; none if no trait is to be blocked. A trait is not blocked while a rival of it is
// more suspect: one against which more crashes speak, or a part behind it. While it has a
// rival that is as suspect, the next crash is waited for, which only one of them is likely
// to share, until there are provenThreshold crashes.
func (s *State) worst(now time.Time, upTo Kind) (worst Trait, most []suspectedCrash) {
	alone := false
	for _, t := range s.pending {
		p := s.suspicions[t]
		if t.Kind > upTo || p == nil || len(p.crashes) < crashThreshold || now.Before(p.blockedUntil) {
			continue
		}
		crashes := s.unexplained(now, t, p)
		if len(crashes) < len(most) || !s.enough(now, t.Kind, crashes, p.proven) || s.sameRequest(t, crashes) {
			continue
		}
		hasRivals, surpassed := false, false
		for _, other := range s.rivals(now, t, crashes) {
			hasRivals = true
			surpassed = surpassed || s.precedes(t, other) || len(s.unexplained(now, other, s.suspicions[other])) > len(crashes)
		}
		switch {
		case surpassed, hasRivals && len(crashes) < provenThreshold:
		case s.hasSuspectBehind(t, crashes) && !s.enough(now, t.Kind, crashes, true):
		case len(crashes) > len(most) || !hasRivals && !alone:
			worst, most, alone = t, crashes, !hasRivals
		}
	}
	return worst, most
}

// enough reports whether crashes, oldest first, suffice to block a trait. Only those count
// of which all routers have had time to tell. If careful is set, the trait is likely to
// have been in flight by chance.
func (s *State) enough(now time.Time, kind Kind, crashes []suspectedCrash, careful bool) bool {
	threshold, span := crashThreshold, time.Duration(0)
	switch {
	case careful:
		threshold, span = provenThreshold, provenSpan
	case kind == KindPart:
		span = partSpan
	}
	settled := len(crashes)
	for settled > 0 && !s.settled(now, kind, crashes[settled-1]) {
		settled--
	}
	return settled >= threshold && crashes[settled-1].at.Sub(crashes[0].at) >= span
}

// unexplained lists the crashes of a trait that no blocked trait explains. A request that
// is blocked does not explain those of a part: the part may be what is wrong with it.
func (s *State) unexplained(now time.Time, t Trait, p *suspicion) (list []suspectedCrash) {
	blocked := s.blockedNow(now)
	for _, c := range p.crashes {
		explained := slices.ContainsFunc(blocked, func(other Trait) bool {
			return other != t && other.Kind >= t.Kind && s.runs[c.run].has(other)
		})
		if !explained && now.Sub(c.at) <= CrashTTL {
			list = append(list, c)
		}
	}
	return list
}

// hasSuspectBehind reports whether a part that stands behind a part in prompts was in flight
// at several of its crashes, and is more likely to be what crashes upstreams.
func (s *State) hasSuspectBehind(t Trait, crashes []suspectedCrash) bool {
	if t.Kind != KindPart {
		return false
	}
	for _, c := range crashes {
		u := s.runs[c.run]
		if u == nil {
			continue
		}
		for other := range u.traits {
			p := s.suspicions[other]
			if p != nil && !p.proven && len(p.crashes) >= crashThreshold-1 && s.precedes(t, other) {
				return true
			}
		}
	}
	return false
}

// sameRequest reports whether one request was in flight at all crashes of a part, so that
// it may be that request that crashes upstreams, and not the part.
func (s *State) sameRequest(t Trait, crashes []suspectedCrash) bool {
	return t.Kind == KindPart && slices.ContainsFunc(s.sharedTraits(crashes), func(other Trait) bool {
		return other.Kind == KindRequest
	})
}

// rivals lists the other traits of the same kind that were in flight at all crashes of a
// trait and that as many crashes speak against. The parts before a part are none: crashes
// cannot tell them apart while they come together, and the last of them concerns the
// fewest requests.
func (s *State) rivals(now time.Time, t Trait, crashes []suspectedCrash) (list []Trait) {
	for _, other := range s.sharedTraits(crashes) {
		p := s.suspicions[other]
		if other == t || other.Kind != t.Kind || s.precedes(other, t) || p == nil || p.proven || now.Before(p.blockedUntil) {
			continue
		}
		if len(s.unexplained(now, other, p)) >= len(crashes) {
			list = append(list, other)
		}
	}
	return list
}

// sharedTraits lists the traits that were in flight at each of the crashes.
func (s *State) sharedTraits(crashes []suspectedCrash) (list []Trait) {
	first := s.runs[crashes[0].run]
	if first == nil {
		return nil
	}
	for t := range first.traits {
		if !slices.ContainsFunc(crashes, func(c suspectedCrash) bool { return !s.runs[c.run].has(t) }) {
			list = append(list, t)
		}
	}
	return list
}
