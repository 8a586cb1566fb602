package quarantine

import (
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// Threshold is the number of crashes after which a request is refused.
	Threshold = 2
	// CrashTTL is how long a crash counts, and with it how long a request stays
	// refused after its last one.
	CrashTTL = 30 * time.Minute
	// maxPerOrganisation bounds the requests remembered for one organisation;
	// the one that crashed least recently gives way.
	maxPerOrganisation = 64
	// maxOrganisations bounds the organisations with remembered requests.
	maxOrganisations = 4096
	// maxCrashes bounds the crashes remembered of one request.
	maxCrashes = 8
	// maxNameBytes bounds the length of names in notices, in bytes.
	maxNameBytes = 256
	// maxClockSkew is how far ahead a peer's clock may be; a notice from later
	// is ignored.
	maxClockSkew = time.Minute
)

// Fingerprint is the hash of a request's method, path and body.
type Fingerprint = [32]byte

// crash is one crash of an upstream with the request in flight. Its time and
// upstream name it, so that a repeated notice counts once.
type crash struct {
	upstream string
	at       time.Time
}

// entry is what is known about one request.
type entry struct {
	organisation string
	fingerprint  Fingerprint
	// crashes are sorted by time.
	crashes []crash
	// released is the time of the last release; crashes up to it do not count.
	released time.Time
}

// lastEvent is the time of the latest thing known.
func (e *entry) lastEvent() time.Time {
	if n := len(e.crashes); n > 0 && e.crashes[n-1].at.After(e.released) {
		return e.crashes[n-1].at
	}
	return e.released
}

// State is one router's knowledge. It is not safe for concurrent use.
type State struct {
	organisations map[string]map[Fingerprint]*entry
	peers         []core.RouterID
}

// New returns an empty state.
func New() *State {
	return &State{organisations: map[string]map[Fingerprint]*entry{}}
}

// SetPeers names the routers that are told of crashes.
func (s *State) SetPeers(peers []core.RouterID) {
	s.peers = slices.Clone(peers)
}

// Crash notes that a request was in flight when an upstream crashed, and tells
// the peers.
func (s *State) Crash(now time.Time, organisation string, fingerprint Fingerprint, upstream string) []core.Effect {
	c := crash{upstream: upstream, at: now.Truncate(time.Millisecond)}
	s.addCrash(now, organisation, fingerprint, c)
	return s.broadcast(crashNotice(organisation, fingerprint, c))
}

// Step takes an event in and returns what is to be done. Events that do not
// concern quarantine are ignored.
func (s *State) Step(now time.Time, ev core.Event) []core.Effect {
	switch ev := ev.(type) {
	case core.Tick:
		s.expire(now)
	case core.PeerUp:
		return s.syncPeer(now, core.RouterID(ev.Member.GetId()))
	case core.PeerMessage:
		s.handleNotice(now, ev.Message.GetCrashNotice())
	case core.Release:
		at := now.Truncate(time.Millisecond)
		s.applyRelease(now, ev.Organisation, ev.Fingerprint, at)
		return s.broadcast(releaseNotice(ev.Organisation, ev.Fingerprint, at))
	}
	return nil
}

// Blocked reports whether a request is to be refused, and until when.
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
	if count < Threshold {
		return time.Time{}, false
	}
	// The request is free once fewer than Threshold crashes still count.
	return e.crashes[len(e.crashes)-Threshold].at.Add(CrashTTL), true
}

// handleNotice takes in a peer's word. Notices may be repeated and reordered.
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

// addCrash keeps a crash unless it is known or too old to count.
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

// applyRelease forgets the crashes up to a time, and those whose notices are still
// to come.
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
