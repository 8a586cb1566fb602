package dispatch

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Usage is the demand and the service of an organisation, as rates in tokens per
// second over the share window. Prompt tokens count once and generated tokens twice.
type Usage struct {
	Demand  float64
	Started float64
	// Charged is Started with the cost of each request divided by the share that the
	// organisation could have had when it was sent, at the measured throughput of
	// the engines; 1 is exactly the whole share. What an organisation got while
	// others asked for little is thus not held against it once they ask for more.
	Charged float64
}

// significant reports whether the usage is large enough to be kept and reported.
func (u Usage) significant() bool { return u.Demand >= 1 || u.Started >= 1 || u.Charged >= minCharge }

// minCharge is the charge below which an organisation counts as not served.
const minCharge = 1e-3

func (u *Usage) add(o Usage) {
	u.Demand += o.Demand
	u.Started += o.Started
	u.Charged += o.Charged
}

func (u *Usage) sub(o Usage) {
	u.Demand -= o.Demand
	u.Started -= o.Started
	u.Charged -= o.Charged
}

// Share compares what an organisation received by the arrival of a request with what
// it may have, in tokens per second over all routers whose reports are known.
type Share struct {
	Received float64
	// Level is its max-min fair share; infinite while all demand fits, 0 if the
	// capacity is not known.
	Level float64
	// Capacity is the throughput from which the level was computed.
	Capacity float64
	// Charge is the organisation's charge at the measured throughput of the engines, and
	// Excess its charge as a multiple of its maximum share at the level, but at least of
	// minClassShare.
	Charge, Excess float64
}

// String formats the share for logs: received and fair rates and the capacity in
// thousands of tokens per second, the excess and the charge.
func (s Share) String() string {
	return fmt.Sprintf("%.1f/%.1f x%.2f of %.0f charge %.2f", s.Received/1000, s.Level/1000, s.Excess, s.Capacity/1000, s.Charge)
}

// usageMeter measures the usage of one organisation as exponentially decaying rates. They
// start from nothing: normalise makes averages of them.
type usageMeter struct {
	usage Usage
	at    time.Time
}

// decay updates the rates to the time now.
func (m *usageMeter) decay(now time.Time, window time.Duration) {
	if !m.at.IsZero() && now.After(m.at) {
		f := math.Exp(-now.Sub(m.at).Seconds() / window.Seconds())
		m.usage.Demand *= f
		m.usage.Started *= f
		m.usage.Charged *= f
	}
	m.at = now
}

// shareTracker tracks the usage of the organisations over all routers and computes
// their max-min fair shares of the engines' throughput.
type shareTracker struct {
	window time.Duration
	// since is when the first request of the present load arrived, zero without load.
	since time.Time
	local map[string]*usageMeter
	peers map[string]map[uint32]Usage
	// peerTotal is the sum over the other routers, by the Key of the organisation.
	peerTotal map[uint32]Usage
	// classLevels holds the level for the requests of each workload class.
	// measuredLevel is the level at the measured throughput of the engines.
	classLevels   [classCount]level
	measuredLevel level
}

// level is the rate above which an organisation is over its share; it is infinite
// while all demand fits.
type level struct {
	rate float64
	// capacity is the throughput that is divided between the organisations.
	capacity  float64
	updatedAt time.Time
}

// maxShare returns what an organisation may have if its demand is unlimited.
func (l *level) maxShare() float64 { return min(l.rate, l.capacity) }

// levelInterval is the interval at which a level is recomputed.
const levelInterval = 50 * time.Millisecond

func newShareTracker(window time.Duration) shareTracker {
	return shareTracker{
		window: window, local: make(map[string]*usageMeter), peers: make(map[string]map[uint32]Usage),
		peerTotal: make(map[uint32]Usage),
	}
}

// minSpanFraction is the span, as a fraction of the share window, below which averages
// are not extrapolated: single requests would decide them.
const minSpanFraction = 0.1

// normalise returns the averages that rates decayed to now stand for, given that nothing
// was counted before the load began. Rates that rise from nothing over the window
// would let whoever asks for most have it all at the beginning of a load.
func (s *shareTracker) normalise(now time.Time, u Usage) Usage {
	if s.since.IsZero() {
		return u
	}
	span := max(now.Sub(s.since).Seconds()/s.window.Seconds(), minSpanFraction)
	f := 1 / (1 - math.Exp(-span))
	return Usage{Demand: f * u.Demand, Started: f * u.Started, Charged: f * u.Charged}
}

// averages returns the usage of an organisation at this router.
func (s *shareTracker) averages(now time.Time, org string) Usage {
	return s.normalise(now, s.meter(org, now).usage)
}

// meter returns the meter of an organisation at this router, decayed to now.
func (s *shareTracker) meter(org string, now time.Time) *usageMeter {
	m := s.local[org]
	if m == nil {
		m = &usageMeter{at: now}
		s.local[org] = m
	}
	m.decay(now, s.window)
	return m
}

// recordDemand counts a request that arrived.
func (s *shareTracker) recordDemand(now time.Time, org string, tokens float64) {
	if s.since.IsZero() {
		s.since = now
	}
	s.meter(org, now).usage.Demand += tokens / s.window.Seconds()
}

// recordStart counts a request that was sent. A negative size takes back one that did
// not run.
func (s *shareTracker) recordStart(now time.Time, org string, tokens float64) {
	m := s.meter(org, now)
	m.usage.Started = max(0, m.usage.Started+tokens/s.window.Seconds())
	if maxShare := s.measuredLevel.maxShare(); maxShare > 0 {
		m.usage.Charged = max(0, m.usage.Charged+tokens/s.window.Seconds()/maxShare)
	}
}

// setPeer replaces the usage reported by another router; nil removes it.
func (s *shareTracker) setPeer(peer string, usage map[uint32]Usage) {
	for key, u := range s.peers[peer] {
		sum := s.peerTotal[key]
		if sum.sub(u); !sum.significant() {
			delete(s.peerTotal, key)
			continue
		}
		s.peerTotal[key] = sum
	}
	if usage == nil {
		delete(s.peers, peer)
		return
	}
	s.peers[peer] = usage
	for key, u := range usage {
		sum := s.peerTotal[key]
		sum.add(u)
		s.peerTotal[key] = sum
	}
}

// startedRate returns the rate at which all routers serve an organisation.
func (s *shareTracker) startedRate(now time.Time, org string) float64 {
	return s.averages(now, org).Started + s.peerTotal[Key(org)].Started
}

// charged returns the charge of an organisation over all routers.
func (s *shareTracker) charged(now time.Time, org string) float64 {
	return s.averages(now, org).Charged + s.peerTotal[Key(org)].Charged
}

// totalStartedRate returns the rate at which all routers serve all organisations.
func (s *shareTracker) totalStartedRate(now time.Time) (sum float64) {
	for org := range s.local {
		sum += s.averages(now, org).Started
	}
	for _, u := range s.peerTotal {
		sum += u.Started
	}
	return sum
}

// updateLevel recomputes a level for a capacity in tokens per second, at most once per
// levelInterval.
func (s *shareTracker) updateLevel(now time.Time, l *level, capacity func() float64) {
	if now.Sub(l.updatedAt) < levelInterval {
		return
	}
	l.updatedAt, l.rate, l.capacity = now, 0, capacity()
	if l.capacity > 0 {
		l.rate = maxMinLevel(s.demands(now), l.capacity)
	}
}

// minClassShare is the least share that an organisation may have before requests of one
// class are refused, as a fraction of its share of all engines, so that one that sends only
// requests of the class that is short of room is not left with a small part. A larger
// fraction would keep the backlog of that class from reducing what is admitted.
const minClassShare = 0.65

// shareAt returns the share of an organisation at the level of a class.
func (s *shareTracker) shareAt(now time.Time, org string, l *level) Share {
	share := Share{Received: s.startedRate(now, org), Level: l.rate, Capacity: l.capacity, Charge: s.charged(now, org)}
	if maxShare := max(l.maxShare(), minClassShare*s.measuredLevel.maxShare()); maxShare > 0 {
		share.Excess = share.Charge * s.measuredLevel.maxShare() / maxShare
	}
	return share
}

// demands returns the demand of each organisation over all routers.
func (s *shareTracker) demands(now time.Time) []float64 {
	demand := make(map[uint32]float64, len(s.local)+len(s.peerTotal))
	for key, u := range s.peerTotal {
		demand[key] = u.Demand
	}
	for org, m := range s.local {
		m.decay(now, s.window)
		if !m.usage.significant() {
			delete(s.local, org)
			continue
		}
		demand[Key(org)] += s.normalise(now, m.usage).Demand
	}
	if len(s.local) == 0 {
		s.since = time.Time{}
	}
	list := make([]float64, 0, len(demand))
	for _, d := range demand {
		list = append(list, d)
	}
	return list
}

// maxMinLevel returns the largest rate that a max-min fair division of the capacity
// grants to a demand, or infinity if all demands fit.
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
