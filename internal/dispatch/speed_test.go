package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
)

// speed returns how fast an engine reads at a time, as a multiple of readRate.
func (sim *fleetSim) speed(engine string, at time.Time) float64 {
	speed := 1.0
	if v, ok := sim.speeds[engine]; ok {
		speed = v
	}
	if sim.disturbed && hashFraction(engine, uint32(at.Sub(start)/(600*time.Millisecond))) < 1.0/6 {
		speed /= 2.5
	}
	return speed
}

// placer is a way to take speeds into account.
type placer string

const (
	ignoresSpeeds placer = "ignores speeds"
	learnsSpeeds  placer = "learns speeds"
	knowsSpeeds   placer = "knows speeds"
)

// playUneven plays ten seconds of callers before three slow and nine fast engines, at a load
// as a fraction of what they can read, and returns the part of the requests whose answers
// began in time.
func playUneven(seed uint64, load float64, how placer) *fleetSim {
	const engines, slow, seconds = 12, 3, 10
	sim := newFleetSim(seed, engines, 0)
	sim.speeds, sim.disturbed = make(map[string]float64), true
	for i := range engines {
		sim.speeds[fmt.Sprintf("m%02d", i)] = 1.2
		if i%(engines/slow) == 1 {
			sim.speeds[fmt.Sprintf("m%02d", i)] = 0.55
		}
	}
	for _, s := range sim.routers {
		switch how {
		case ignoresSpeeds:
			s.options.IgnoreSpeeds = true
		case knowsSpeeds:
			s.options.IgnoreSpeeds = true
			for id, v := range sim.speeds {
				s.upstreams[id].speed, s.upstreams[id].slow = v, v < 1
			}
		}
	}
	playSteady(sim, load*simReadRate*(slow*0.55+(engines-slow)*1.2), seconds)
	return sim
}

// playSteady plays callers who ask for a number of prompt tokens a second.
func playSteady(sim *fleetSim, tokenRate float64, seconds int) {
	playKinds(sim, tokenRate, seconds, []*simKind{
		{route: draft, perSecond: 42, shared: 5382, own: 6610, ownSpread: 0.6, output: 380, outSpread: 0.9, token: 6 * time.Millisecond},
		{route: chat, perSecond: 110, shared: 198, own: 628, ownSpread: 0.6, output: 290, outSpread: 0.9, token: 5 * time.Millisecond},
		{route: permit, perSecond: 65, shared: 568, own: 1800, ownSpread: 0.6, output: 25, outSpread: 0.9, token: 6 * time.Millisecond},
	})
}

// playKinds is playSteady with kinds of requests in proportion to their rates.
func playKinds(sim *fleetSim, tokenRate float64, seconds int, kinds []*simKind) {
	total := 0.0
	for _, kind := range kinds {
		total += kind.perSecond * kind.own
	}
	for sim.now.Before(start.Add(time.Duration(seconds) * time.Second)) {
		for k, kind := range kinds {
			for n := poisson(sim.random, kind.perSecond*tokenRate/total*simStep.Seconds()); n > 0; n-- {
				own := sim.lognormal(kind.own, kind.ownSpread, 8*kind.own)
				sim.created++
				sim.arrive(&simRequest{org: fmt.Sprint("org", sim.random.IntN(8)), router: sim.random.IntN(len(sim.routers)), kind: kind, prompt: Prompt{
					Tokens: kind.shared + own, MaxOutput: sim.lognormal(kind.output, kind.outSpread, 3*kind.output),
					Parts: []Part{{ID: uint64(k), Tokens: kind.shared}, {ID: 1<<60 + uint64(sim.created), Tokens: own}},
				}})
			}
		}
		sim.advance()
	}
}

// poisson returns a random number of events with a small mean.
func poisson(random *rand.Rand, mean float64) (n int) {
	for at := random.ExpFloat64(); at < mean; at += random.ExpFloat64() {
		n++
	}
	return n
}

func (sim *fleetSim) fractionInTime() float64 {
	return float64(sim.inTime) / float64(sim.inTime+sim.late+sim.refused)
}

// Placing by learnt speeds serves more callers in time than placing that takes all engines for
// equally fast: half as many more, at least, as knowing all speeds would bring, while the engines
// can do the work.
func TestUnevenEngines(t *testing.T) {
	const seeds = 6
	for _, load := range []float64{0.5, 0.7, 0.85, 1, 1.2} {
		t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
			t.Parallel()
			inTime := make(map[placer]float64)
			for _, how := range []placer{ignoresSpeeds, learnsSpeeds, knowsSpeeds} {
				for seed := range uint64(seeds) {
					inTime[how] += playUneven(seed, load, how).fractionInTime() / seeds
				}
				t.Logf("%s: %.3f in time", how, inTime[how])
			}
			part := 0.5
			if load >= 1 {
				// Whatever is placed where, callers are refused.
				part = 0
			}
			gain := inTime[knowsSpeeds] - inTime[ignoresSpeeds]
			NewWithT(t).Expect(inTime[learnsSpeeds]).To(BeNumerically(">=", inTime[ignoresSpeeds]+part*gain-tolerance))
		})
	}
}

// tolerance is the part of the requests by which plays of the same load differ.
const tolerance = 0.01

// Engines that are equally fast are taken for that, whatever half a second does to each.
func TestEqualEnginesStayEqual(t *testing.T) {
	for _, load := range []float64{0.5, 0.85, 1.2} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint("load ", load, ", seed ", seed), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				sim := newFleetSim(seed, 12, 0)
				sim.disturbed = true
				playSteady(sim, load*simReadRate*12, 10)
				for _, s := range sim.routers {
					for _, u := range s.upstreams {
						g.Expect(u.speed).To(BeNumerically("~", 1, 0.25), u.ID)
					}
				}
			})
		}
	}
}

// Engines that answer alike are equal to the last bit, so that nothing is placed otherwise.
func TestSpeedsChangeNothingWithoutDifferences(t *testing.T) {
	play := func(ignore bool) (int, int, int) {
		sim := newFleetSim(1, 12, 0)
		for _, s := range sim.routers {
			s.options.IgnoreSpeeds = ignore
		}
		playSteady(sim, 0.7*simReadRate*12, 10)
		return sim.inTime, sim.late, sim.refused
	}
	g := NewWithT(t)
	inTime, late, refused := play(false)
	inTimeBefore, lateBefore, refusedBefore := play(true)
	g.Expect([]int{inTime, late, refused}).To(Equal([]int{inTimeBefore, lateBefore, refusedBefore}))
}

// Slow upstreams take streams before the others, fast ones after them.
func TestSlowUpstreamsTakeStreamsFirst(t *testing.T) {
	f := newFixture(t, 4)
	f.upstreams["m02"].slow, f.upstreams["m00"].fast = true, true
	for size, want := range [][]string{{}, {"m02"}, {"m01", "m02"}, {"m01", "m02", "m03"}} {
		f.assignClasses(f.now, f.services[model], size)
		var streams []string
		for id, u := range f.upstreams {
			if u.Service == model && u.class == classDecode {
				streams = append(streams, id)
			}
		}
		f.g.Expect(streams).To(ConsistOf(want))
	}
}

// What an upstream in trouble answers tells nothing of its nature, nor does an error.
func TestTroubleIsNotNature(t *testing.T) {
	f := newFixture(t, 1)
	send := f.lastSend(f.arrive(draft, model, 12_000))
	r := f.requests[send.ID]
	f.g.Expect(r.expectedWork).To(BeNumerically(">", 0))
	f.g.Expect(f.tellsOfSpeed(f.now, r.upstream)).To(BeTrue())
	f.step(ErrorReceived{ID: send.ID, Attempt: send.Attempt})
	f.g.Expect(r.expectedWork).To(BeZero())
	for range 20 {
		f.health.RecordFailure(send.Upstream.ID, model, f.now, core.FailStatus)
	}
	f.g.Expect(f.tellsOfSpeed(f.now, r.upstream)).To(BeFalse())
}
