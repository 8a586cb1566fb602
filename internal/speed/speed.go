// Package speed learns how fast the instances of a service are by nature, as a multiple of
// the mean of their service. Each router measures the answers that it gets and tells the
// others the sums, so that all learn together what none could learn alone.
//
// An instance that is slow by trouble is the matter of package health.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// memory is the time constant with which measurements are forgotten: long beside
	// disturbances of half a second, short beside the life of an instance.
	memory = 20 * time.Second
	// maxRatio bounds the time of an answer as a multiple of the usual one, and the reverse:
	// what differs by more tells of trouble or of a wrong expectation.
	maxRatio = 3
	// unitWork is the work of a sample to which spread applies, the standard deviation of
	// its time as a fraction. certainty is the number of standard errors up to which a
	// difference counts as none.
	unitWork  = 100 * time.Millisecond
	spread    = 0.5
	certainty = 2
	// indifference is the logarithm of a speed that counts as 1 after any number of
	// answers, since disturbances hit instances unequally.
	indifference = 0.1
	// minSpeed and maxSpeed bound the speeds that are learnt.
	minSpeed = 0.3
	maxSpeed = 3
	// ReportInterval is the time between two reports of what was measured.
	ReportInterval = time.Second
	// enoughWork is the work from which on an instance's speed is told from its
	// measurements at all, and droppedWork that below which they are dropped.
	enoughWork  = 10 * unitWork
	droppedWork = 20 * time.Millisecond
	// pauseWork is the work that the mean pause of a whole stream counts as.
	pauseWork = unitWork / 2
)

// Kind distinguishes answers whose time differs from their work for reasons of their own. The
// usual ratio is learnt for each, from the answers of all instances, so that it makes
// none of them slow.
type Kind uint8

// The kinds. Pauses of streams differ with what else their instance does: Pauses plus a number
// is the kind of those beside an amount of other work.
const (
	Reading Kind = iota
	Whole
	Pauses
)

// Sum is what was measured of one instance: the work of its answers, as the time that they
// should take at the speed 1, and the time that they took.
type Sum struct{ Work, Time time.Duration }

// Add adds the measurements of another router.
func (s *Sum) Add(o Sum) { s.Work, s.Time = s.Work+o.Work, s.Time+o.Time }

// State is what one router knows. Instances are identified by a key of their run: one that
// starts anew is another one. It is not safe for concurrent use.
type State struct {
	local  map[uint32]*measured
	peers  map[string]map[uint32]Sum
	speeds map[uint32]float64
	setups map[string]*setup
	usual  map[kindOf]*usual
	// reportedAt is when the sums were last reported.
	reportedAt time.Time
}

type kindOf struct {
	service string
	kind    Kind
}

// measured is a Sum that decays.
type measured struct {
	sum Sum
	at  time.Time
}

func (m *measured) decay(now time.Time) {
	if now.After(m.at) {
		f := math.Exp(-now.Sub(m.at).Seconds() / memory.Seconds())
		m.sum.Work, m.sum.Time = scale(m.sum.Work, f), scale(m.sum.Time, f)
		m.at = now
	}
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(f * float64(d)) }

// New returns a State without measurements.
func New() *State {
	return &State{
		local: make(map[uint32]*measured), peers: make(map[string]map[uint32]Sum),
		speeds: make(map[uint32]float64), setups: make(map[string]*setup), usual: make(map[kindOf]*usual),
	}
}

// RecordReading adds an answer to a prompt that takes an amount of work to read. Part of the
// time to its first byte passes for any prompt; it is learnt from the short ones.
func (s *State) RecordReading(now time.Time, service string, run uint32, work, took time.Duration) {
	setupTime := s.setups[service]
	if setupTime == nil {
		setupTime = &setup{}
		s.setups[service] = setupTime
	}
	if work < smallWork {
		setupTime.add(took - work)
	}
	if work >= tellingWork && setupTime.known() {
		s.record(now, kindOf{service, Reading}, run, work, max(work/10, took-setupTime.time), work)
	}
}

// RecordWhole adds an answer of an instance whose requests are alike.
func (s *State) RecordWhole(now time.Time, service string, run uint32, took time.Duration) {
	s.record(now, kindOf{service, Whole}, run, unitWork, took, unitWork)
}

// RecordPause adds the mean pause between the events of a stream, beside an amount of other
// work of its instance.
func (s *State) RecordPause(now time.Time, service string, run uint32, beside int, pause time.Duration) {
	s.record(now, kindOf{service, Pauses + Kind(beside)}, run, unitWork, pause, pauseWork)
}

// record adds an answer of a kind with a weight, as work.
func (s *State) record(now time.Time, kind kindOf, run uint32, work, took, weight time.Duration) {
	if took <= 0 {
		return
	}
	of := s.usual[kind]
	if of == nil {
		of = &usual{}
		s.usual[kind] = of
	}
	ratio := float64(took) / float64(work)
	// At the speed that is known of the instance.
	if of.add(ratio * s.Of(run)); !of.known() {
		return
	}
	m := s.local[run]
	if m == nil {
		m = &measured{at: now}
		s.local[run] = m
	}
	m.decay(now)
	m.sum.Add(Sum{Work: weight, Time: scale(weight, max(1.0/maxRatio, min(ratio/of.ratio(), maxRatio)))})
}

// Of returns the speed of an instance; 1 while nothing else is certain.
func (s *State) Of(run uint32) float64 {
	if v, ok := s.speeds[run]; ok {
		return v
	}
	return 1
}

// Report returns what this router has measured, or nil while the last report is new enough.
func (s *State) Report(now time.Time) map[uint32]Sum {
	if now.Sub(s.reportedAt) < ReportInterval {
		return nil
	}
	s.reportedAt = now
	sums := make(map[uint32]Sum, len(s.local))
	for run, m := range s.local {
		if m.decay(now); m.sum.Work < droppedWork {
			delete(s.local, run)
			continue
		}
		sums[run] = m.sum
	}
	return sums
}

// SetPeer replaces what another router has measured; nil leaves it as it is.
func (s *State) SetPeer(peer string, sums map[uint32]Sum) {
	if sums != nil {
		s.peers[peer] = sums
	}
}

// DropPeer removes what a router has measured that is gone.
func (s *State) DropPeer(peer string) { delete(s.peers, peer) }

// Forget drops a run of an instance.
func (s *State) Forget(run uint32) {
	delete(s.local, run)
	delete(s.speeds, run)
}

// Update computes the speeds of the instances of a service, given their runs.
func (s *State) Update(now time.Time, runs []uint32) {
	sums := make([]Sum, len(runs))
	for i, run := range runs {
		sums[i] = s.sum(now, run)
	}
	usual := medianRatio(sums)
	total := 0.0
	for i, run := range runs {
		s.speeds[run] = relativeSpeed(sums[i], usual)
		total += s.speeds[run]
	}
	// The mean stays 1: what differs moves work between instances, and the capacity of the
	// service stays as it is.
	mean := total / float64(len(runs))
	for _, run := range runs {
		s.speeds[run] /= mean
	}
}

// medianRatio returns the median over instances of work by time, 0 if none is known.
func medianRatio(sums []Sum) float64 {
	var ratios []float64
	for _, sum := range sums {
		if sum.known() {
			ratios = append(ratios, sum.ratio())
		}
	}
	if len(ratios) == 0 {
		return 0
	}
	slices.Sort(ratios)
	return ratios[len(ratios)/2]
}

func (s Sum) known() bool    { return s.Work >= enoughWork && s.Time > 0 }
func (s Sum) ratio() float64 { return float64(s.Work) / float64(s.Time) }

// sum returns what all routers have measured of a run.
func (s *State) sum(now time.Time, run uint32) (sum Sum) {
	if m := s.local[run]; m != nil {
		m.decay(now)
		sum = m.sum
	}
	for _, sums := range s.peers {
		sum.Add(sums[run])
	}
	return sum
}

// relativeSpeed returns the speed of an instance beside the usual one of its service, as far as
// the measurements show it with certainty.
func relativeSpeed(sum Sum, usual float64) float64 {
	if !sum.known() {
		return 1
	}
	log := math.Log(sum.ratio() / usual)
	log = certain(log, indifference+certainty*spread/math.Sqrt(float64(sum.Work)/float64(unitWork)))
	return max(minSpeed, min(math.Exp(log), maxSpeed))
}

// certain returns 0 for a value up to a threshold, the value itself from twice the threshold
// on, and between them what rises from the one to the other.
func certain(v, threshold float64) float64 {
	switch size := math.Abs(v); {
	case size <= threshold:
		return 0
	case size >= 2*threshold:
		return v
	default:
		return math.Copysign(2*(size-threshold), v)
	}
}
