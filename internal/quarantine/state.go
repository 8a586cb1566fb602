package quarantine

import (
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// CrashThreshold is the number of crashes after which a request is refused.
	CrashThreshold = 2
	// CrashTTL is how long a crash counts towards CrashThreshold. A request is
	// refused at most that long after its last crash.
	CrashTTL = 30 * time.Minute
	// maxPerOrganisation bounds the requests remembered for one organisation. The
	// request with the least recent crash or release is evicted.
	maxPerOrganisation = 64
	// maxOrganisations bounds the organisations with remembered requests.
	maxOrganisations = 4096
	// maxCrashes bounds the crashes remembered for one request.
	maxCrashes = 8
	// maxNameBytes bounds the length of organisation and upstream names in
	// notices.
	maxNameBytes = 256
	// maxClockSkew is how far ahead a peer's clock may be. A notice from further
	// in the future is ignored.
	maxClockSkew = time.Minute
)

// Fingerprint is the hash of a request's method, path and body.
type Fingerprint = [32]byte

// crash is a crash of an upstream while the request was in flight. It is
// identified by its time and upstream, so that a repeated notice counts once.
type crash struct {
	upstream string
	at       time.Time
}

// entry holds the crashes and the last release of one request.
type entry struct {
	organisation string
	fingerprint  Fingerprint
	// crashes are sorted by time.
	crashes []crash
	// released is the time of the last release, zero if there is none. Crashes up
	// to that time do not count.
	released time.Time
}

// lastEvent returns the time of the latest crash or release.
func (e *entry) lastEvent() time.Time {
	if n := len(e.crashes); n > 0 && e.crashes[n-1].at.After(e.released) {
		return e.crashes[n-1].at
	}
	return e.released
}

// State holds the crashes and releases that one router knows of. It is not safe
// for concurrent use.
type State struct {
	organisations map[string]map[Fingerprint]*entry
	peers         []core.RouterID
}

// New returns an empty state.
func New() *State {
	return &State{organisations: map[string]map[Fingerprint]*entry{}}
}

// SetPeers sets the routers that notices are sent to.
func (s *State) SetPeers(peers []core.RouterID) {
	s.peers = slices.Clone(peers)
}

// RecordCrash records that a request was in flight when an upstream crashed, and
// returns the effects that notify the peers.
func (s *State) RecordCrash(now time.Time, organisation string, fingerprint Fingerprint, upstream string) []core.Effect {
	c := crash{upstream: upstream, at: now.Truncate(time.Millisecond)}
	s.addCrash(now, organisation, fingerprint, c)
	return s.broadcast(crashNotice(organisation, fingerprint, c))
}

// RecordSuccess records that an upstream has completed a request: what crashed the others
// was another one. It returns the effects that notify the peers if crashes counted against
// the request.
func (s *State) RecordSuccess(now time.Time, organisation string, fingerprint Fingerprint) []core.Effect {
	e := s.organisations[organisation][fingerprint]
	if e == nil || len(e.crashes) == 0 {
		return nil
	}
	at := now.Truncate(time.Millisecond)
	s.applyRelease(now, organisation, fingerprint, at)
	return s.broadcast(releaseNotice(organisation, fingerprint, at))
}

// Step handles an event and returns the resulting effects. Events that do not
// concern quarantine are ignored.
func (s *State) Step(now time.Time, ev core.Event) []core.Effect {
	switch ev := ev.(type) {
	case core.Tick:
		s.expire(now)
	case core.PeerUp:
		return s.syncPeer(now, core.RouterID(ev.Member.GetId()))
	case core.PeerMessage:
		s.handleNotice(now, ev.Message.GetCrashNotice())
	case core.LiftQuarantine:
		at := now.Truncate(time.Millisecond)
		s.applyRelease(now, ev.Organisation, ev.Fingerprint, at)
		return s.broadcast(releaseNotice(ev.Organisation, ev.Fingerprint, at))
	}
	return nil
}

// Blocked reports whether a request must be refused, and until when.
func (s *State) Blocked(now time.Time, organisation string, fingerprint Fingerprint) (until time.Time, blocked bool) {
	e := s.organisations[organisation][fingerprint]
	if e == nil {
		return time.Time{}, false
	}
	count := 0
	for _, c := range e.crashes {
		if c.at.After(e.released) && now.Before(c.at.Add(CrashTTL)) {
			count++
		}
	}
	if count < CrashThreshold {
		return time.Time{}, false
	}
	// The request is unblocked once fewer than CrashThreshold crashes still
	// count.
	return e.crashes[len(e.crashes)-CrashThreshold].at.Add(CrashTTL), true
}

// handleNotice handles a crash or release notice of a peer. Notices may arrive
// more than once and in any order; invalid ones are ignored.
func (s *State) handleNotice(now time.Time, n *wire.CrashNotice) {
	if n == nil || !validNotice(n) {
		return
	}
	at := time.UnixMilli(int64(n.ObservedUnixMs))
	if at.After(now.Add(maxClockSkew)) {
		return
	}
	fingerprint := Fingerprint(n.Fingerprint)
	if n.Released {
		s.applyRelease(now, n.Organisation, fingerprint, at)
		return
	}
	s.addCrash(now, n.Organisation, fingerprint, crash{upstream: n.Upstream, at: at})
}

func validNotice(n *wire.CrashNotice) bool {
	return len(n.Fingerprint) == len(Fingerprint{}) &&
		n.Organisation != "" && len(n.Organisation) <= maxNameBytes && len(n.Upstream) <= maxNameBytes
}

// addCrash adds a crash to its request's entry, unless it is known already,
// expired or before the last release.
func (s *State) addCrash(now time.Time, organisation string, fingerprint Fingerprint, c crash) {
	if !now.Before(c.at.Add(CrashTTL)) {
		return
	}
	e := s.entryFor(organisation, fingerprint)
	if e == nil || !c.at.After(e.released) || slices.Contains(e.crashes, c) {
		return
	}
	i, _ := slices.BinarySearchFunc(e.crashes, c, compareCrashes)
	e.crashes = slices.Insert(e.crashes, i, c)
	if len(e.crashes) > maxCrashes {
		e.crashes = slices.Delete(e.crashes, 0, len(e.crashes)-maxCrashes)
	}
	s.evictOldest(organisation)
}

// applyRelease removes the crashes up to a time, and makes addCrash ignore those
// whose notices arrive later.
func (s *State) applyRelease(now time.Time, organisation string, fingerprint Fingerprint, at time.Time) {
	if !now.Before(at.Add(CrashTTL)) {
		return
	}
	e := s.entryFor(organisation, fingerprint)
	if e == nil || !at.After(e.released) {
		return
	}
	e.released = at
	e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool { return !c.at.After(at) })
	s.evictOldest(organisation)
}

// compareCrashes orders by time, then upstream.
func compareCrashes(a, b crash) int {
	if order := a.at.Compare(b.at); order != 0 {
		return order
	}
	if a.upstream < b.upstream {
		return -1
	}
	return 1
}
