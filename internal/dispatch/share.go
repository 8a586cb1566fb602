package dispatch

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Usage is what an organisation asked for and was given, as rates in tokens a
// second over the share window: prompt tokens once, generated ones twice.
type Usage struct {
	Asked   float64
	Started float64
}

// Share is what an organisation had on the arrival of a request, against what it
// may have, in tokens a second over all routers that are heard of.
type Share struct {
	Had float64
	// Level is its max-min fair part; infinite while all demand fits, 0 if the
	// capacity is not known.
	Level float64
}

// Excess is what the organisation has had as a multiple of its part.
func (s Share) Excess() float64 {
	if s.Level <= 0 {
		return 0
	}
	return s.Had / s.Level
}

// String is for logs: rates in thousands of tokens a second.
func (s Share) String() string { return fmt.Sprintf("%.1f/%.1f", s.Had/1000, s.Level/1000) }

// meter is a pair of exponentially decaying rates.
type meter struct {
	usage Usage
	at    time.Time
}

// decay brings the rates to now.
func (m *meter) decay(now time.Time, window time.Duration) {
	if !m.at.IsZero() && now.After(m.at) {
		f := math.Exp(-now.Sub(m.at).Seconds() / window.Seconds())
		m.usage.Asked *= f
		m.usage.Started *= f
	}
	m.at = now
}

// shares judges which organisations have had their max-min fair part of the
// engines' throughput, over all routers.
type shares struct {
	window time.Duration
	own    map[string]*meter
	peers  map[string]map[uint32]Usage
	// total is the sum over the other routers, by the key of the organisation.
	total map[uint32]Usage
	// levels are those for the requests of each group, and seenLevel the one if the
	// engines do no more than they are seen to do.
	levels    [groups]level
	seenLevel level
}

// level is the rate above which an organisation is over its share, infinite while
// all demand fits.
type level struct {
	rate float64
	at   time.Time
}

// levelEvery is how often the level is computed anew.
const levelEvery = 50 * time.Millisecond

func newShares(window time.Duration) shares {
	return shares{
		window: window, own: make(map[string]*meter), peers: make(map[string]map[uint32]Usage),
		total: make(map[uint32]Usage),
	}
}

func (s *shares) meter(org string, now time.Time) *meter {
	m := s.own[org]
	if m == nil {
		m = &meter{at: now}
		s.own[org] = m
	}
	m.decay(now, s.window)
	return m
}

// ask counts a request that arrived.
func (s *shares) ask(now time.Time, org string, tokens float64) {
	s.meter(org, now).usage.Asked += tokens / s.window.Seconds()
}

// start counts a request that was sent, and with a negative size one that did
// not run after all.
func (s *shares) start(now time.Time, org string, tokens float64) {
	m := s.meter(org, now)
	m.usage.Started = max(0, m.usage.Started+tokens/s.window.Seconds())
}

// setPeer replaces what another router reported; nil drops it.
func (s *shares) setPeer(peer string, usage map[uint32]Usage) {
	for key, u := range s.peers[peer] {
		t := s.total[key]
		t.Asked -= u.Asked
		t.Started -= u.Started
		if t.Asked < 1 && t.Started < 1 {
			delete(s.total, key)
			continue
		}
		s.total[key] = t
	}
	if usage == nil {
		delete(s.peers, peer)
		return
	}
	s.peers[peer] = usage
	for key, u := range usage {
		t := s.total[key]
		t.Asked += u.Asked
		t.Started += u.Started
		s.total[key] = t
	}
}

// started is the rate at which all routers serve an organisation.
func (s *shares) started(now time.Time, org string) float64 {
	return s.meter(org, now).usage.Started + s.total[Key(org)].Started
}

// startedByAll is the rate at which all routers serve all organisations.
func (s *shares) startedByAll(now time.Time) (sum float64) {
	for _, m := range s.own {
		m.decay(now, s.window)
		sum += m.usage.Started
	}
	for _, u := range s.total {
		sum += u.Started
	}
	return sum
}

// share is what an organisation has had, and may have of a capacity, a rate in
// tokens a second. The level l of that capacity is brought up to date.
func (s *shares) share(now time.Time, org string, l *level, capacity func() float64) Share {
	if now.Sub(l.at) >= levelEvery {
		l.at, l.rate = now, 0
		if c := capacity(); c > 0 {
			l.rate = maxMinLevel(s.asked(now), c)
		}
	}
	return Share{Had: s.started(now, org), Level: l.rate}
}

// asked lists the demand of all organisations over all routers.
func (s *shares) asked(now time.Time) []float64 {
	demand := make(map[uint32]float64, len(s.own)+len(s.total))
	for key, u := range s.total {
		demand[key] = u.Asked
	}
	for org, m := range s.own {
		m.decay(now, s.window)
		if m.usage.Asked < 1 && m.usage.Started < 1 {
			delete(s.own, org)
			continue
		}
		demand[Key(org)] += m.usage.Asked
	}
	list := make([]float64, 0, len(demand))
	for _, d := range demand {
		list = append(list, d)
	}
	return list
}

// maxMinLevel is the rate that the max-min fair division of capacity allows
// each demand at most, infinite if all of them fit.
func maxMinLevel(demands []float64, capacity float64) float64 {
	sort.Float64s(demands)
	for i, d := range demands {
		level := capacity / float64(len(demands)-i)
		if d > level {
			return level
		}
		capacity -= d
	}
	return math.Inf(1)
}
