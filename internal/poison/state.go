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
	// blocked holds the traits that are blocked, and some that no longer are.
	blocked []Trait
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
	traits map[Trait]struct{}
}

// has reports whether a request with a trait was in flight at the crash.
func (u *run) has(t Trait) bool {
	if u == nil {
		return false
	}
	_, ok := u.traits[t]
	return ok
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
	// pending means that the trait is in State.pending.
	pending bool
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
		s.judgeRequests(now)
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
	s.judgeRequests(now)
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
func (s *State) BlockedTraits(now time.Time) int { return len(s.blockedNow(now)) }

// blockedNow lists the traits that are blocked.
func (s *State) blockedNow(now time.Time) []Trait {
	s.blocked = slices.DeleteFunc(s.blocked, func(t Trait) bool { return !s.isBlocked(now, t) })
	return s.blocked
}

func (s *State) isBlocked(now time.Time, t Trait) bool {
	p := s.suspicions[t]
	return p != nil && now.Before(p.blockedUntil)
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
	u = &run{at: now, traits: make(map[Trait]struct{})}
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
	if u == nil || u.has(t) {
		return false
	}
	u.traits[t] = struct{}{}
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
	if !p.pending {
		p.pending = true
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
