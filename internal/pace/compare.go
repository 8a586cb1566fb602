package pace

import (
	"math"
	"time"
)

const (
	// lateFactor is the ratio to the usual time to the first byte from which an answer
	// counts as bad, and goodFactor the one up to which it counts as good. Upstreams of one
	// service differ by a factor of two in speed, and now and then work 2.5 times slower for
	// a moment (the users' data sheets).
	lateFactor = 6.0
	goodFactor = 3.0
	// minLate is the least delay beyond the usual time that counts.
	minLate = 100 * time.Millisecond
	// usualWeight is the weight of an answer in the usual time and in the ratio of bad ones.
	usualWeight = 0.05
	// maxBadRatio is the ratio of bad answers of steady upstreams from which a single bad one
	// says nothing: a paced upstream would have one in most steps.
	maxBadRatio = 0.02
)

// Verdict is the comparison of an answer with those of other upstreams.
type Verdict uint8

// The verdicts. Neither means that the answer says nothing.
const (
	Neither Verdict = iota
	Good
	Late
)

// Peers knows how the steady upstreams of a service answer: the moving average of the
// logarithm of the time to the first byte, as a multiple of what was expected.
type Peers struct {
	mean  float64
	known bool
	// badRatio is the moving average of the ratio of bad answers.
	badRatio float64
}

// RecordOutcome counts the end of a steady upstream's attempt.
func (p *Peers) RecordOutcome(bad bool) {
	v := 0.0
	if bad {
		v = 1
	}
	p.badRatio += usualWeight * (v - p.badRatio)
}

// Troubled reports whether many answers of steady upstreams are bad.
func (p *Peers) Troubled() bool { return p.badRatio > maxBadRatio }

// Record counts the answer of a steady upstream. Expected is 0 if the time does not depend
// on the request.
func (p *Peers) Record(took, expected time.Duration) {
	v := ratio(took, expected)
	if !p.known {
		p.mean, p.known = v, true
		return
	}
	p.mean += usualWeight * (v - p.mean)
}

// Compare compares the answer of a paced upstream with those of its peers. Without any, it
// counts as good.
func (p *Peers) Compare(took, expected time.Duration) Verdict {
	if !p.known {
		return Good
	}
	scale := math.Exp(p.mean) * max(1, float64(expected))
	switch beyond := float64(took) - scale; {
	case beyond <= float64(minLate) || float64(took) <= goodFactor*scale:
		return Good
	case float64(took) >= lateFactor*scale:
		return Late
	}
	return Neither
}

func ratio(took, expected time.Duration) float64 {
	return math.Log(max(1, float64(took)) / max(1, float64(expected)))
}
