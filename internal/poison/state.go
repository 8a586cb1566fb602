package poison

import (
	"slices"
	"time"
)

const (
	// crashThreshold is the number of crashes that blocks a trait, unless a request with
	// it has succeeded since the first of them. Those that block a part of prompts must
	// also be spread over partSpan: many requests share it, and upstreams of a failure
	// domain may be lost together.
	crashThreshold = 3
	partSpan       = 250 * time.Millisecond
	// provenThreshold is the same for a trait with which requests had succeeded before: it
	// is more likely to have been in flight by chance. The crashes must then be spread over
	// provenSpan.
	provenThreshold = 5
	provenSpan      = 2 * time.Second
	// BlockTime is how long a trait is blocked, and CrashTTL how long a crash counts.
	BlockTime = 10 * time.Minute
	CrashTTL  = 10 * time.Minute
	// maxCrashes bounds the crashes remembered for one trait.
	maxCrashes = 64
	// maxSuspicions bounds the traits under suspicion, and maxBlocked those that are
	// blocked. The one whose last crash is oldest is dropped.
	maxSuspicions = 4096
	maxBlocked    = 256
	// maxRuns bounds the upstreams' runs whose crashes are remembered, maxBroken the
	// requests remembered of each, and runTTL how long a run is remembered.
	maxRuns   = 256
	maxBroken = 256
	runTTL    = 2 * time.Minute
	// maxCrashDelay is how long after a crash it may still be heard of. Later ones are
	// another crash: an upstream whose start is not known may have been started again.
	maxCrashDelay = 3 * time.Second
	// repeatInterval is the time between two announcements of a blocked trait. A router
	// that has just started learns of it within that time.
	repeatInterval = time.Second
)

// Trait is a property of requests by which they may crash upstreams.
type Trait struct {
	Kind Kind
	ID   uint64
}

// Kind says what a Trait's ID identifies.
type Kind uint8

const (
	// KindRequest means that the ID is a request's fingerprint, which its repetitions share.
	KindRequest Kind = iota + 1
	// KindPart means that it is the id of a part of prompts.
	KindPart
)

// Request names the traits of a request.
type Request struct {
	// Fingerprint is the same for each repetition of the request, 0 if not known.
	Fingerprint uint64
	// Parts are the ids of the parts of its prompt that other requests may share.
	Parts []uint64
}

// traits lists the traits of a request.
func (r Request) traits() []Trait {
	list := make([]Trait, 0, 1+len(r.Parts))
	if r.Fingerprint != 0 {
		list = append(list, Trait{KindRequest, r.Fingerprint})
	}
	for _, id := range r.Parts {
		list = append(list, Trait{KindPart, id})
	}
	return list
}

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case KindRequest:
		return "request"
	case KindPart:
		return "part"
	}
	return "unknown"
}

// RunID identifies one run of an upstream, from a start to a crash.
type RunID uint64

// State holds what one router knows of crashes. It is not safe for concurrent use.
type State struct {
	runs       map[RunID]*run
	suspicions map[Trait]*suspicion
	succeeded  recentTraits
	// settleTime is how long the other routers may take to tell of a crash.
	settleTime time.Duration
	// pending holds the traits whose suspicion has grown since they were last judged.
	pending []Trait
	news    []Fact
	changes []Change
	// announcedAt is when the blocked traits were last announced.
	announcedAt time.Time
}

// run is a run of an upstream in which connections broke.
type run struct {
	at time.Time
	// crashed means that the upstream has ended. Until that is known, broken holds the
	// requests whose connections broke.
	crashed   bool
	crashedAt time.Time
	broken    []Request
	// traits are those of the requests that were in flight at the crash.
	traits []Trait
}

// suspicion is what speaks against a trait.
type suspicion struct {
	// before is the part before it in the latest prompt with a part, 0 if it is the first.
	before uint64
	// crashes are those since the last success, oldest first.
	crashes []suspectedCrash
	// recent counts the crashes regardless of successes.
	recent int
	// proven means that a request with the trait had succeeded before the first crash, and
	// cleared that one has since.
	proven, cleared bool
	// contested means that another router has blocked the trait, while requests with it
	// succeed here.
	contested    bool
	blockedUntil time.Time
	lastCrash    time.Time
	clearedAt    time.Time
}

// suspectedCrash is a crash of an upstream at which requests with a trait were in flight.
type suspectedCrash struct {
	run RunID
	at  time.Time
}

// Change is a change of what is blocked, for logs.
type Change struct {
	Trait   Trait
	Blocked bool
	// Crashes is the number of crashes that speak against the trait.
	Crashes int
	// Reported means that another router has decided it.
	Reported bool
}

// New returns a state that suspects nothing.
func New() *State {
	return &State{runs: make(map[RunID]*run), suspicions: make(map[Trait]*suspicion)}
}

// Broken records that a request's connection to an upstream broke, which may be a crash.
func (s *State) Broken(now time.Time, id RunID, r Request) {
	u := s.runOf(now, id)
	switch {
	case u == nil:
	case u.crashed:
		s.suspectRequest(now, id, r)
		s.judge(now)
	case len(u.broken) < maxBroken:
		u.broken = append(u.broken, r)
	}
}

// Crashed records that an upstream has ended.
func (s *State) Crashed(now time.Time, id RunID) {
	u := s.runOf(now, id)
	if u == nil || u.crashed {
		return
	}
	s.markCrashed(now, id, u)
	s.judge(now)
}

// markCrashed brings the requests whose connections broke in a run under suspicion.
func (s *State) markCrashed(now time.Time, id RunID, u *run) {
	broken := u.broken
	u.crashed, u.crashedAt, u.broken = true, now, nil
	for _, r := range broken {
		s.suspectRequest(now, id, r)
	}
}

// Survived records that an upstream still runs: its connections broke for another reason.
func (s *State) Survived(id RunID) {
	if u := s.runs[id]; u != nil && !u.crashed {
		delete(s.runs, id)
	}
}

// Succeeded records that an upstream has served a request.
func (s *State) Succeeded(now time.Time, r Request) {
	for _, t := range r.traits() {
		s.succeeded.add(now, t)
		if p := s.suspicions[t]; p != nil {
			s.clear(now, t, p)
		}
	}
}

// Blocked reports whether a request must be refused, for which trait and until when.
func (s *State) Blocked(now time.Time, r Request) (t Trait, until time.Time, blocked bool) {
	for _, t := range r.traits() {
		if p := s.suspicions[t]; p != nil && now.Before(p.blockedUntil) {
			return t, p.blockedUntil, true
		}
	}
	return Trait{}, time.Time{}, false
}

// Suspected reports whether a request has a trait that was in flight at a crash and that
// no request is known to have survived with.
func (s *State) Suspected(r Request) bool {
	for _, t := range r.traits() {
		if p := s.suspicions[t]; p != nil && !p.proven && len(p.crashes) > 0 {
			return true
		}
	}
	return false
}

// Changes returns what has been blocked or released since the last call.
func (s *State) Changes() []Change {
	list := s.changes
	s.changes = nil
	return list
}

// BlockedTraits returns the number of traits that are blocked.
func (s *State) BlockedTraits(now time.Time) (n int) {
	for _, p := range s.suspicions {
		if now.Before(p.blockedUntil) {
			n++
		}
	}
	return n
}

// runOf returns a run of an upstream and creates it if needed; nil if there are too many.
func (s *State) runOf(now time.Time, id RunID) *run {
	u := s.runs[id]
	if u != nil && (!u.crashed || now.Sub(u.crashedAt) <= maxCrashDelay) {
		return u
	}
	if u == nil && len(s.runs) >= maxRuns {
		if s.expireRuns(now); len(s.runs) >= maxRuns {
			return nil
		}
	}
	u = &run{at: now}
	s.runs[id] = u
	return u
}

func (s *State) expireRuns(now time.Time) {
	for id, u := range s.runs {
		if now.Sub(u.at) > runTTL {
			delete(s.runs, id)
		}
	}
}

// suspectRequest records that a request was in flight at a crash, and tells the peers.
func (s *State) suspectRequest(now time.Time, id RunID, r Request) {
	var before uint64
	for _, t := range r.traits() {
		f := Fact{Kind: FactSuspect, Trait: t, Run: id, Proven: s.succeeded.has(now, t)}
		if t.Kind == KindPart {
			f.Before, before = before, t.ID
		}
		if s.suspect(now, f) {
			s.news = append(s.news, f)
		}
	}
}

// suspect records that a request with a trait was in flight at a crash. It reports whether
// that was news.
func (s *State) suspect(now time.Time, f Fact) bool {
	id, t := f.Run, f.Trait
	u := s.runOf(now, id)
	if u == nil || slices.Contains(u.traits, t) {
		return false
	}
	u.traits = append(u.traits, t)
	if !u.crashed {
		s.markCrashed(now, id, u)
	}
	p := s.suspicionOf(now, t)
	if p.recent == 0 {
		p.proven = s.succeeded.has(now, t)
	}
	p.proven = p.proven || f.Proven
	p.crashes = append(p.crashes, suspectedCrash{run: id, at: now})
	if len(p.crashes) > maxCrashes {
		p.crashes = slices.Delete(p.crashes, 0, 1)
	}
	p.recent++
	p.before = f.Before
	p.lastCrash = now
	if !slices.Contains(s.pending, t) {
		s.pending = append(s.pending, t)
	}
	return true
}

// suspicionOf returns the suspicion of a trait and creates it if needed.
func (s *State) suspicionOf(now time.Time, t Trait) *suspicion {
	p := s.suspicions[t]
	if p == nil {
		if len(s.suspicions) >= maxSuspicions {
			s.dropOldest(func(p *suspicion) bool { return !now.Before(p.blockedUntil) })
		}
		p = &suspicion{lastCrash: now}
		s.suspicions[t] = p
	}
	return p
}

// dropOldest drops the suspicion whose last crash is oldest, among those that are wanted.
func (s *State) dropOldest(wanted func(*suspicion) bool) {
	var oldest Trait
	var found *suspicion
	for t, p := range s.suspicions {
		if wanted(p) && (found == nil || p.lastCrash.Before(found.lastCrash)) {
			oldest, found = t, p
		}
	}
	if found != nil {
		delete(s.suspicions, oldest)
	}
}

// clear ends a suspicion because a request with the trait has succeeded, and tells the
// peers if they may be about to block it.
func (s *State) clear(now time.Time, t Trait, p *suspicion) {
	if len(p.crashes) == 0 && !p.contested {
		return
	}
	s.markCleared(now, t, p, false)
	s.announceCleared(now, t, p)
}

// markCleared records that a request with a trait has succeeded, here or at a peer.
func (s *State) markCleared(now time.Time, t Trait, p *suspicion, reported bool) {
	p.crashes, p.proven, p.cleared, p.contested = nil, true, true, false
	if now.Before(p.blockedUntil) {
		p.blockedUntil = time.Time{}
		s.changes = append(s.changes, Change{Trait: t, Reported: reported})
	}
}

// announceCleared tells the peers that requests with a trait succeed, if it was in flight
// at more than one crash.
func (s *State) announceCleared(now time.Time, t Trait, p *suspicion) {
	if p.recent < crashThreshold-1 || now.Sub(p.clearedAt) < repeatInterval {
		return
	}
	p.clearedAt = now
	s.news = append(s.news, Fact{Kind: FactCleared, Trait: t})
}

// judge blocks those of the pending traits that enough crashes speak against, the most
// suspect one first.
func (s *State) judge(now time.Time) {
	for {
		worst, crashes := s.worst(now)
		if len(crashes) == 0 {
			break
		}
		for _, t := range append(s.rivals(now, worst, crashes), worst) {
			p := s.suspicions[t]
			s.block(now, t, p, Change{Trait: t, Blocked: true, Crashes: len(crashes)}, now.Add(BlockTime))
			s.news = append(s.news, Fact{Kind: FactBlocked, Trait: t, Proven: p.proven, Left: BlockTime - leftUnit})
		}
	}
	s.pending = slices.DeleteFunc(s.pending, func(t Trait) bool {
		p := s.suspicions[t]
		return p == nil || len(p.crashes) == 0 || s.settled(now, t.Kind, p.crashes[len(p.crashes)-1])
	})
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
	s.succeeded.remove(t)
	s.changes = append(s.changes, c)
	for other, q := range s.suspicions {
		if t.Kind == KindPart && now.Before(q.blockedUntil) && s.explainedByPart(now, other, q) {
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
	return !slices.ContainsFunc(p.crashes, func(c suspectedCrash) bool {
		u := s.runs[c.run]
		return u == nil || !slices.ContainsFunc(u.traits, func(other Trait) bool {
			q := s.suspicions[other]
			return other.Kind == KindPart && q != nil && now.Before(q.blockedUntil)
		})
	})
}

// worst returns the pending trait that most crashes speak against and these crashes, none
// if no trait is to be blocked. A trait with a rival against which more crashes speak is
// not blocked. While it has one with as many, the next crash is waited for, which only one
// of them is likely to share, until there are provenThreshold crashes.
func (s *State) worst(now time.Time) (worst Trait, most []suspectedCrash) {
	alone := false
	for _, t := range s.pending {
		p := s.suspicions[t]
		if p == nil || now.Before(p.blockedUntil) {
			continue
		}
		crashes := s.unexplained(now, t, p)
		if len(crashes) < len(most) || !s.enough(now, t.Kind, crashes, p.proven) || s.sameRequest(t, crashes) {
			continue
		}
		hasRivals, surpassed := false, false
		for _, other := range s.rivals(now, t, crashes) {
			hasRivals = true
			surpassed = surpassed || len(s.unexplained(now, other, s.suspicions[other])) > len(crashes)
		}
		switch {
		case surpassed, hasRivals && len(crashes) < provenThreshold:
		case len(crashes) > len(most) || !hasRivals && !alone:
			worst, most, alone = t, crashes, !hasRivals
		}
	}
	return worst, most
}

// enough reports whether crashes, oldest first, suffice to block a trait. Only those count
// of which all routers have had time to tell.
func (s *State) enough(now time.Time, kind Kind, crashes []suspectedCrash, proven bool) bool {
	threshold, span := crashThreshold, time.Duration(0)
	switch {
	case proven:
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
	for _, c := range p.crashes {
		u := s.runs[c.run]
		explained := u != nil && slices.ContainsFunc(u.traits, func(other Trait) bool {
			q := s.suspicions[other]
			return other != t && other.Kind >= t.Kind && q != nil && now.Before(q.blockedUntil)
		})
		if !explained && now.Sub(c.at) <= CrashTTL {
			list = append(list, c)
		}
	}
	return list
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
		if other != t && other.Kind == t.Kind && p != nil && !p.proven && !s.precedes(other, t) && !now.Before(p.blockedUntil) && len(s.unexplained(now, other, p)) >= len(crashes) {
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
	for _, t := range first.traits {
		inAll := !slices.ContainsFunc(crashes, func(c suspectedCrash) bool {
			u := s.runs[c.run]
			return u == nil || !slices.Contains(u.traits, t)
		})
		if inAll {
			list = append(list, t)
		}
	}
	return list
}

// SetSettleTime sets how long the other routers may take to tell of a crash.
func (s *State) SetSettleTime(d time.Duration) { s.settleTime = d }

// Tick judges the crashes of which all routers should have told by now, and drops what no
// longer counts.
func (s *State) Tick(now time.Time) {
	s.judge(now)
	s.expireRuns(now)
	for t, p := range s.suspicions {
		if now.Sub(p.lastCrash) > CrashTTL && !now.Before(p.blockedUntil) {
			delete(s.suspicions, t)
		}
	}
}
