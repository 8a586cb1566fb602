package speed

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

const service = "model"

// router measures the answers of instances that read a prompt of 100 ms each ten times a second.
type router struct{ *State }

// measure lets instances answer for some seconds; slowness is the time of an answer as a
// multiple of its work, for each run at a time.
func (r router) measure(from, seconds int, runs []uint32, slowness func(run uint32, at time.Duration) float64) time.Time {
	const work, setup = 100 * time.Millisecond, 15 * time.Millisecond
	at := time.Duration(from) * time.Second
	for ; at < time.Duration(from+seconds)*time.Second; at += work {
		r.RecordReading(start.Add(at), service, 0, work/10, setup+work/10)
		for _, run := range runs {
			r.RecordReading(start.Add(at), service, run, work, setup+time.Duration(slowness(run, at)*float64(work)))
		}
	}
	now := start.Add(at)
	r.Update(now, runs)
	return now
}

func constant(run uint32, _ time.Duration) float64 {
	if run == 1 {
		return 2
	}
	return 1
}

var runs = []uint32{1, 2, 3, 4, 5, 6}

func TestSlowInstanceIsLearnt(t *testing.T) {
	g := NewWithT(t)
	r := router{New()}
	r.measure(0, 6, runs, constant)
	g.Expect(r.Of(1) / r.Of(2)).To(BeNumerically("~", 0.5, 0.05))
	mean := 0.0
	for _, run := range runs {
		mean += r.Of(run) / float64(len(runs))
	}
	g.Expect(mean).To(BeNumerically("~", 1, 1e-9))
}

// Answers that are held up for a sixth of the time, 600 ms at once, make no instance slow.
func TestDisturbancesAreNotNature(t *testing.T) {
	g := NewWithT(t)
	r := router{New()}
	r.measure(0, 20, runs, func(run uint32, at time.Duration) float64 {
		if slot := uint32(at / (600 * time.Millisecond)); (slot*7+run*5)%6 == 0 {
			return 2.5
		}
		return 1
	})
	for _, run := range runs {
		g.Expect(r.Of(run)).To(BeNumerically("~", 1, 0.1))
	}
}

func TestEqualInstancesHaveTheSpeedOne(t *testing.T) {
	r := router{New()}
	r.measure(0, 10, runs, func(uint32, time.Duration) float64 { return 1.4 })
	for _, run := range runs {
		NewWithT(t).Expect(r.Of(run)).To(Equal(1.0))
	}
}

// Routers that each see too few answers know together what none knows alone.
func TestRoutersLearnTogether(t *testing.T) {
	g := NewWithT(t)
	a, b, c := router{New()}, router{New()}, router{New()}
	var now time.Time
	for _, r := range []router{a, b, c} {
		now = r.measure(0, 1, runs, constant)
		g.Expect(r.Of(1)).To(Equal(1.0))
	}
	for _, other := range []router{b, c} {
		sums := other.Report(now)
		g.Expect(sums).NotTo(BeEmpty())
		g.Expect(other.Report(now.Add(ReportInterval / 2))).To(BeNil())
		a.SetPeer(string(rune('0'+len(a.peers))), sums)
	}
	a.Update(now, runs)
	g.Expect(a.Of(1)).To(BeNumerically("<", 0.8))
	a.DropPeer("0")
	a.DropPeer("1")
	a.Update(now, runs)
	g.Expect(a.Of(1)).To(Equal(1.0))
}

// An instance that starts anew is another run, of which nothing is known, also to peers.
func TestNewRunIsUnknown(t *testing.T) {
	g := NewWithT(t)
	r := router{New()}
	now := r.measure(0, 6, runs, constant)
	r.Forget(1)
	again := append([]uint32{7}, runs[1:]...)
	r.Update(now, again)
	g.Expect(r.Of(7)).To(Equal(r.Of(2)))
	g.Expect(r.Report(now)).NotTo(HaveKey(uint32(1)))
}

// What an instance was is forgotten when it answers otherwise.
func TestSpeedIsLearntAnew(t *testing.T) {
	r := router{New()}
	r.measure(0, 10, runs, constant)
	r.measure(10, 60, runs, func(uint32, time.Duration) float64 { return 1 })
	NewWithT(t).Expect(r.Of(1)).To(BeNumerically("~", 1, 0.1))
}

// Pauses of streams and whole answers tell of speeds as well.
func TestPausesAndWholeAnswers(t *testing.T) {
	for name, record := range map[string]func(*State, time.Time, uint32, time.Duration){
		"pauses": func(s *State, now time.Time, run uint32, took time.Duration) {
			s.RecordPause(now, service, run, 3, took)
		},
		"whole": func(s *State, now time.Time, run uint32, took time.Duration) {
			s.RecordWhole(now, service, run, took)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := New(), start
			for range 60 {
				now = now.Add(50 * time.Millisecond)
				for _, run := range runs {
					record(s, now, run, time.Duration(constant(run, 0)*float64(40*time.Millisecond)))
				}
			}
			s.Update(now, runs)
			NewWithT(t).Expect(s.Of(1) / s.Of(2)).To(BeNumerically("~", 0.5, 0.1))
		})
	}
}
