package dispatch

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/pace"
	"github.com/jujubeford/jujubeford/internal/poison"
	"github.com/jujubeford/jujubeford/internal/speed"
)

// Placement states that an upstream has cached a prompt part, or will cache it.
type Placement struct {
	// Upstream is the Key of the instance id.
	Upstream uint32
	Part     Part
	// Read means that the part has been read there.
	Read bool
}

// Report is the message that a router sends to the others: its complete load, so that
// the next report makes up for a lost one, and the placements since the previous report.
type Report struct {
	Loads      map[uint32]Load
	Usage      map[uint32]Usage
	Placements []Placement
	// Contended lists the queues, by wire key, in which requests wait or recently found
	// no room.
	Contended []uint32
	// Limits holds the limits that upstreams name, and those that ended lately.
	Limits map[uint32]Limit
	// Cold holds the upstreams that the router itself has seen to be cold, with the time
	// left.
	Cold map[uint32]time.Duration
	// Pace holds what the router itself saw of upstreams that have started or failed.
	Pace map[uint32]pace.Report
	// Leaving lists the runs of upstreams, by runKey, that have stated in an answer that
	// they are leaving. An answer that is passed on by one router may come from another
	// one's upstream, so that a router alone would not know. It also lists the entries, by
	// entryKey, of those that left before the directory was restored.
	Leaving []uint64
	// Speeds is what was measured of the upstreams' speeds, by run; nil if the report does not
	// say.
	Speeds map[uint32]speed.Sum
	// Crashes is what the router has seen of requests that crash upstreams since the
	// previous report.
	Crashes []poison.Fact
}

// maxUnreportedPlacements bounds the placements kept for the next report.
const maxUnreportedPlacements = 512

// recordPlacements keeps placements for the next report, dropping the oldest ones if
// there are too many.
func (s *State) recordPlacements(u *upstream, parts []Part) {
	for _, p := range parts {
		entry := u.cache.parts[p.ID]
		if entry == nil {
			continue
		}
		if len(s.unreportedPlacements) == maxUnreportedPlacements {
			s.unreportedPlacements = append(s.unreportedPlacements[:0], s.unreportedPlacements[1:]...)
		}
		s.unreportedPlacements = append(s.unreportedPlacements, Placement{Upstream: u.key, Part: p, Read: entry.read})
	}
}

// slotChangeTokens is what taking or releasing a slot adds to UnreportedTokens: about
// the prompt of a short chat (the users' data sheets: 628 to 2,100 tokens).
const slotChangeTokens = 500

// UnreportedTokens returns the change of this router's load since the last Report, in
// prompt tokens.
func (s *State) UnreportedTokens() int { return s.unreportedTokens }

// Report returns this router's load, and the placements and news of crashes since the
// last call.
func (s *State) Report(now time.Time) Report {
	s.unreportedTokens = 0
	r := NewReport()
	for _, u := range s.upstreams {
		if u.local != (Load{}) {
			r.Loads[u.key] = u.local
		}
		if l, ok := u.limit.report(now); ok {
			r.Limits[u.key] = l
		}
		if u.leaving {
			r.Leaving = append(r.Leaving, u.runKey)
		}
		if u.Departed {
			r.Leaving = append(r.Leaving, u.entryKey())
		}
	}
	for org, m := range s.shares.local {
		m.decay(now, s.shares.window)
		if m.usage.significant() {
			r.Usage[Key(org)] = s.shares.normalise(now, m.usage)
		}
	}
	for key, q := range s.queues {
		if q.contended(now) {
			r.Contended = append(r.Contended, key.wireKey())
		}
	}
	r.Placements = append(r.Placements, s.unreportedPlacements...)
	s.unreportedPlacements = s.unreportedPlacements[:0]
	r.Cold, r.Pace = s.reportCold(now), s.reportPace(now)
	r.Crashes, s.newsCounted = s.poison.News(now), false
	r.Speeds = s.speeds.Report(now)
	return r
}

// setPeer replaces the reported load of another router.
func (s *State) setPeer(now time.Time, peer string, r Report) {
	if s.options.IgnorePeers {
		return
	}
	s.replaceLoads(s.peers[peer], r)
	s.peers[peer] = Report{Loads: r.Loads, Contended: r.Contended}
	s.shares.setPeer(peer, r.Usage)
	s.poison.Learn(now, r.Crashes)
	s.speeds.SetPeer(peer, r.Speeds)
	for key, l := range r.Limits {
		if u := s.byKey[key]; u != nil {
			s.setLimit(now, u, l.PerSecond, now.Add(-l.Age))
		}
	}
	s.learnCold(now, r.Cold)
	s.learnPace(now, peer, r.Pace)
	s.learnLeaving(now, r.Leaving)
	for _, p := range r.Placements {
		if u := s.byKey[p.Upstream]; u != nil {
			u.cache.recordUse(now, []Part{p.Part}, p.Read)
		}
	}
	// Queued requests use room shown by a report at the next Tick, not here: in a large
	// fleet reports arrive every few milliseconds.
}

// learnLeaving marks the upstreams that other routers know to be leaving.
func (s *State) learnLeaving(now time.Time, runs []uint64) {
	if len(runs) == 0 {
		return
	}
	for _, u := range s.upstreams {
		if !u.leaving && slices.Contains(runs, u.runKey) {
			s.setLeaving(now, u)
		}
		if u.Entry != 0 && slices.Contains(runs, u.entryKey()) {
			u.departedUntil = now.Add(departedHold)
		}
	}
}

// runKey identifies a run of an instance among routers, by what SameStart compares.
func runKey(in Instance) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d %s %s", in.ID, in.Started, in.Addr, in.Service)
	return h.Sum64()
}

// replaceLoads subtracts the loads of one report and adds those of another.
func (s *State) replaceLoads(old, new Report) {
	for key, l := range old.Loads {
		if u := s.byKey[key]; u != nil {
			u.remote.sub(l)
		}
	}
	for key, l := range new.Loads {
		if u := s.byKey[key]; u != nil {
			u.remote.add(l)
		}
	}
}

// dropPeer removes a router that is gone, and its load.
func (s *State) dropPeer(now time.Time, peer string) {
	if _, known := s.peers[peer]; !known {
		return
	}
	s.replaceLoads(s.peers[peer], Report{})
	delete(s.peers, peer)
	s.shares.setPeer(peer, nil)
	s.speeds.DropPeer(peer)
	s.learnPace(now, peer, nil)
	s.drainAllQueues(now)
}

// Add adds another router's report, except for its placements, crashes and speeds.
func (r *Report) Add(o Report) {
	for key, l := range o.Loads {
		sum := r.Loads[key]
		sum.add(l)
		r.Loads[key] = sum
	}
	for key, u := range o.Usage {
		sum := r.Usage[key]
		sum.add(u)
		r.Usage[key] = sum
	}
	for _, key := range o.Contended {
		if !slices.Contains(r.Contended, key) {
			r.Contended = append(r.Contended, key)
		}
	}
	for _, run := range o.Leaving {
		if !slices.Contains(r.Leaving, run) {
			r.Leaving = append(r.Leaving, run)
		}
	}
	r.addCold(o)
	r.addPace(o)
	for key, l := range o.Limits {
		if known, ok := r.Limits[key]; !ok || l.Age < known.Age {
			r.Limits[key] = l
		}
	}
}

// NewReport returns an empty report that others can be added to.
func NewReport() Report {
	return Report{Loads: make(map[uint32]Load), Usage: make(map[uint32]Usage), Limits: make(map[uint32]Limit)}
}

// Sub takes the loads and the usage of another router's report out of a sum. What the sum
// has less of than the report counts as nothing: the usage of the two may be of different
// times.
func (r *Report) Sub(o Report) {
	for key, l := range o.Loads {
		left := r.Loads[key]
		left.sub(l)
		if left = left.atLeastZero(); left == (Load{}) {
			delete(r.Loads, key)
			continue
		}
		r.Loads[key] = left
	}
	for key, u := range o.Usage {
		left := r.Usage[key]
		left.sub(u)
		left = Usage{Demand: max(0, left.Demand), Started: max(0, left.Started), Charged: max(0, left.Charged)}
		if !left.significant() {
			delete(r.Usage, key)
			continue
		}
		r.Usage[key] = left
	}
	r.subPace(o)
}
