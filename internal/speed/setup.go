package speed

import (
	"math"
	"time"
)

const (
	// smallWork is the work below which an answer shows the setup time rather than speed,
	// and tellingWork that from which on it shows the speed.
	smallWork   = 20 * time.Millisecond
	tellingWork = 2 * smallWork
	// enoughSamples is the number of samples from which on an estimate is used.
	enoughSamples = 5
	// A setup time goes down by setupDown of the difference to a shorter one, and up by no
	// more than setupUp: what others have queued delays answers, and nothing speeds them up.
	setupDown = 0.5
	setupUp   = 200 * time.Microsecond
	// ratioStep is the first correction of the logarithm of a ratio, and minStep the least
	// one as a fraction of the first.
	ratioStep = 0.5
	minStep   = 0.02
)

// setup is the time that answers of a service take for any amount of work.
type setup struct {
	time  time.Duration
	count int
}

func (s *setup) add(took time.Duration) {
	switch s.count++; {
	case s.count == 1:
		s.time = took
	case took < s.time:
		s.time -= scale(s.time-took, setupDown)
	default:
		s.time += min(setupUp, took-s.time)
	}
}

// known reports whether there were enough samples.
func (s *setup) known() bool { return s.count >= enoughSamples }

// usual is the median of the times that answers of one kind take, as a multiple of their
// work: its logarithm. Single outliers have little weight.
type usual struct {
	log   float64
	count int
}

func (u *usual) add(ratio float64) {
	sample := math.Log(ratio)
	if u.count++; u.count == 1 {
		u.log = sample
		return
	}
	step := ratioStep * max(minStep, 1/float64(u.count)) / 2
	u.log += max(-step, min(sample-u.log, step))
}

// known reports whether there were enough samples.
func (u *usual) known() bool { return u.count >= enoughSamples }

func (u *usual) ratio() float64 { return math.Exp(u.log) }
