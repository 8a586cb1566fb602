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
	// Charged is Started with each request divided by what an organisation might have
	// when it was sent, of what the engines were seen to do: 1 is the whole share. What it
	// had while others asked for little thus is not held against it once they ask for
	// more.
	Charged float64
}

// used reports whether the usage is worth keeping.
func (u Usage) used() bool { return u.Asked >= 1 || u.Started >= 1 || u.Charged >= leastCharge }

// leastCharge is the charge below which an organisation counts as one that had nothing.
const leastCharge = 1e-3

func (u *Usage) add(o Usage) {
	u.Asked += o.Asked
	u.Started += o.Started
	u.Charged += o.Charged
}

func (u *Usage) sub(o Usage) {
	u.Asked -= o.Asked
	u.Started -= o.Started
	u.Charged -= o.Charged
}

// Share is what an organisation had on the arrival of a request, against what it
// may have, in tokens a second over all routers that are heard of.
type Share struct {
	Had float64
	// Level is its max-min fair part; infinite while all demand fits, 0 if the
	// capacity is not known.
	Level float64
	// Excess is what it was charged, as a multiple of that part.
	Excess float64
}

// String is for logs: rates in thousands of tokens a second, and the excess.
func (s Share) String() string {
	return fmt.Sprintf("%.1f/%.1f x%.2f", s.Had/1000, s.Level/1000, s.Excess)
}

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
		m.usage.Charged *= f
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
	// levels are those for the requests of each group, and seen the one if the engines
	// do no more than they are seen to do.
	levels [groups]level
	seen   level
}

// level is the rate above which an organisation is over its share, infinite while
// all demand fits.
type level struct {
	rate float64
	// whole is the capacity that is divided.
	whole float64
	at    time.Time
}

// part is what an organisation may have if it asks for everything.
func (l *level) part() float64 { return min(l.rate, l.whole) }

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

// start counts a request that was sent, and with a negative size one that did not run
// after all.
func (s *shares) start(now time.Time, org string, tokens float64) {
	m := s.meter(org, now)
	m.usage.Started = max(0, m.usage.Started+tokens/s.window.Seconds())
	if part := s.seen.part(); part > 0 {
		m.usage.Charged = max(0, m.usage.Charged+tokens/s.window.Seconds()/part)
	}
}

// setPeer replaces what another router reported; nil drops it.
func (s *shares) setPeer(peer string, usage map[uint32]Usage) {
	for key, u := range s.peers[peer] {
		t := s.total[key]
		if t.sub(u); !t.used() {
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
		t.add(u)
		s.total[key] = t
	}
}

// started is the rate at which all routers serve an organisation.
func (s *shares) started(now time.Time, org string) float64 {
	return s.meter(org, now).usage.Started + s.total[Key(org)].Started
}

// charged is what an organisation was charged by all routers.
func (s *shares) charged(now time.Time, org string) float64 {
	return s.meter(org, now).usage.Charged + s.total[Key(org)].Charged
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

// update brings a level up to date with a capacity, a rate in tokens a second.
func (s *shares) update(now time.Time, l *level, capacity func() float64) {
	if now.Sub(l.at) < levelEvery {
		return
	}
	l.at, l.rate, l.whole = now, 0, capacity()
	if l.whole > 0 {
		l.rate = maxMinLevel(s.asked(now), l.whole)
	}
}

// share is what an organisation has had, and may have at a level.
func (s *shares) share(now time.Time, org string, l *level) Share {
	share := Share{Had: s.started(now, org), Level: l.rate}
	if part := l.part(); part > 0 {
		share.Excess = s.charged(now, org) * s.seen.part() / part
	}
	return share
}

// asked lists the demand of all organisations over all routers.
func (s *shares) asked(now time.Time) []float64 {
	demand := make(map[uint32]float64, len(s.own)+len(s.total))
	for key, u := range s.total {
		demand[key] = u.Asked
	}
	for org, m := range s.own {
		m.decay(now, s.window)
		if !m.usage.used() {
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
