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
	// enoughSamples is the number of samples from which on a quantile is used.
	enoughSamples = 5
	// setupQuantile is the quantile of setup times that is learnt: less than a half, since
	// what others have queued delays answers.
	setupQuantile = 0.3
	// setupStep and ratioStep are the first corrections of a setup time in milliseconds and
	// of the logarithm of a ratio; minStep is the least one as a fraction of the first.
	setupStep = 25
	ratioStep = 0.5
	minStep   = 0.02
)

// quantile is a moving estimate of a quantile: single outliers have little weight.
type quantile struct {
	value float64
	count int
}

// add adds a sample, given which quantile is learnt and the first correction.
func (q *quantile) add(sample, which, firstStep float64) {
	if q.count++; q.count == 1 {
		q.value = sample
		return
	}
	step := firstStep * max(minStep, 1/float64(q.count))
	if diff := sample - q.value; diff > 0 {
		q.value += min(step*which, diff)
	} else {
		q.value -= min(step*(1-which), -diff)
	}
}

// known reports whether there were enough samples.
func (q *quantile) known() bool { return q.count >= enoughSamples }

// setup is the time that answers of a service take for any amount of work, in milliseconds.
type setup struct{ quantile }

func (s *setup) add(took time.Duration) {
	s.quantile.add(float64(took)/float64(time.Millisecond), setupQuantile, setupStep)
}

func (s *setup) time() time.Duration {
	return time.Duration(s.value * float64(time.Millisecond))
}

// usual is the time that answers of one kind usually take, as a multiple of their work: its
// logarithm.
type usual struct{ quantile }

func (u *usual) add(ratio float64) { u.quantile.add(math.Log(ratio), 0.5, ratioStep) }

func (u *usual) ratio() float64 { return math.Exp(u.value) }
