package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// simProcessor simulates a processor that serves work first come, first served: a
// router on an instance of a given speed.
type simProcessor struct {
	pressure *pressure
	cores    float64
	// accountedShare is the share of the used time that the process's accounting shows.
	accountedShare float64
	cost           struct{ request, refusal, offload time.Duration }
	now            time.Time
	// busyUntil is when the accepted work is done.
	busyUntil, sampled time.Time
	used               time.Duration
	lags               []time.Duration
	waits              []time.Duration
	refused            int
}

func newSimProcessor(cores float64, request, refusal time.Duration) *simProcessor {
	m := &simProcessor{pressure: &pressure{cores: cores, admission: newAdmission(cores)}, cores: cores, accountedShare: 1, now: time.Unix(1000, 0)}
	m.busyUntil, m.sampled = m.now, m.now
	m.cost.request, m.cost.refusal, m.cost.offload = request, refusal, request/5
	m.pressure.sample(m.now, 0, 0)
	return m
}

// run simulates requests that arrive at a constant rate.
func (m *simProcessor) run(perSecond float64, length time.Duration) {
	step := time.Duration(float64(time.Second) / perSecond)
	for end := m.now.Add(length); m.now.Before(end); m.now = m.now.Add(step) {
		if m.now.Sub(m.sampled) >= sweepInterval {
			m.sample()
		}
		m.request("")
	}
}

// request simulates one request of an organisation and reports whether it was admitted.
func (m *simProcessor) request(org string) bool {
	admitted := m.pressure.admission.admit(m.now, false)
	if admitted {
		m.pressure.admission.attribute(m.now, org)
	}
	if m.pressure.shouldShed() || !admitted && !m.pressure.admission.admitUnderserved(m.now, org) {
		return m.refuse(m.cost.refusal)
	}
	return m.serve()
}

func (m *simProcessor) serve() bool {
	m.waits = append(m.waits, m.spend(m.cost.request))
	return true
}

func (m *simProcessor) refuse(cost time.Duration) bool {
	m.pressure.admission.recordRefusal()
	return m.drop(cost)
}

// drop simulates what a refusal takes that admission control has recorded.
func (m *simProcessor) drop(cost time.Duration) bool {
	m.refused++
	m.spend(cost)
	return false
}

// spend adds a piece of work and returns how long it takes from now until it is done.
func (m *simProcessor) spend(work time.Duration) time.Duration {
	m.busyUntil = later(m.busyUntil, m.now)
	m.lags = append(m.lags, m.busyUntil.Sub(m.now))
	m.busyUntil = m.busyUntil.Add(time.Duration(float64(work) / m.cores))
	m.used += work
	return m.busyUntil.Sub(m.now)
}

func (m *simProcessor) sample() {
	var lag time.Duration
	if len(m.lags) >= lagSamples {
		slices.Sort(m.lags)
		lag = m.lags[int(lagQuantile*float64(len(m.lags)))]
	}
	done := m.used - time.Duration(m.cores*float64(max(0, m.busyUntil.Sub(m.now))))
	m.pressure.sample(m.now, time.Duration(m.accountedShare*float64(done)), lag)
	m.sampled, m.lags = m.now, m.lags[:0]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestFloodLeavesTimeForRequests: processor time that refusals do not need goes to
// requests.
func TestFloodLeavesTimeForRequests(t *testing.T) {
	g := NewWithT(t)
	const cores, rate, length = 0.192, 2200, 3 * time.Second
	m := newSimProcessor(cores, time.Millisecond, 45*time.Microsecond)
	m.run(rate, length)
	left := cores*length.Seconds() - rate*length.Seconds()*m.cost.refusal.Seconds()
	t.Logf("admitted %d, refused %d, time left %.3f s", len(m.waits), m.refused, left)
	g.Expect(float64(len(m.waits)) * m.cost.request.Seconds()).To(BeNumerically(">", 0.5*left))
	const target = 400 * time.Millisecond
	late := 0
	for _, w := range m.waits {
		if w > target {
			late++
		}
	}
	g.Expect(late).To(BeNumerically("<=", len(m.waits)/10))
}

// TestFloodOfStreamsUsesTheTime: streams need processor time after they were admitted,
// so the router notices only later that it has admitted too many. Four fifths of the
// time that refusals leave must go to requests, and none of these may wait for long.
func TestFloodOfStreamsUsesTheTime(t *testing.T) {
	const (
		cores, length = 0.192, 10 * time.Second
		// A request needs the time of a short answer at once, and then that of one
		// event every tenth of a second.
		events, eventGap = 10, 100 * time.Millisecond
		longest          = 200 * time.Millisecond
	)
	for _, rate := range []float64{150, 300, 600, 1200, 1800, 2400} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			g := NewWithT(t)
			m := newSimProcessor(cores, 150*time.Microsecond, 45*time.Microsecond)
			// Only the lag shows the processor time that the process's accounting does
			// not.
			m.accountedShare = 0.5
			const event = 20 * time.Microsecond
			var due []time.Time
			late := 0
			for end := m.now.Add(length); m.now.Before(end); m.now = m.now.Add(time.Duration(float64(time.Second) / rate)) {
				at := m.now
				for len(due) > 0 && due[0].Before(at) {
					m.now = due[0]
					m.spend(event)
					due = due[1:]
				}
				if m.now = at; m.now.Sub(m.sampled) >= sweepInterval {
					m.sample()
				}
				if !m.request("") {
					continue
				}
				if m.waits[len(m.waits)-1] > longest {
					late++
				}
				for i := range events {
					due = append(due, at.Add(time.Duration(i+1)*eventGap))
				}
				slices.SortFunc(due, time.Time.Compare)
			}
			whole := m.cost.request + events*event
			left := cores*length.Seconds() - float64(m.refused)*m.cost.refusal.Seconds()
			ideal := min(rate*length.Seconds(), left/whole.Seconds())
			t.Logf("admitted %d of %.0f, refused %d", len(m.waits), ideal, m.refused)
			g.Expect(float64(len(m.waits))).To(BeNumerically(">=", 0.8*ideal))
			g.Expect(late).To(BeZero())
		})
	}
}

// TestFloodOfOneOrganisationLeavesTimeForOthers: the share that an organisation gets of
// a router depends on its own demand, not on that of others.
func TestFloodOfOneOrganisationLeavesTimeForOthers(t *testing.T) {
	g := NewWithT(t)
	const rate, each, length = 2200, 110, 4 * time.Second
	m := newSimProcessor(0.192, time.Millisecond, 45*time.Microsecond)
	asked, admitted := make(map[string]int), make(map[string]int)
	for i, end := 0, m.now.Add(length); m.now.Before(end); i++ {
		org := "many"
		if i%each == 0 {
			org = "few"
		}
		if m.now.Sub(m.sampled) >= sweepInterval {
			m.sample()
		}
		asked[org]++
		if m.request(org) {
			admitted[org]++
		}
		m.now = m.now.Add(time.Second / rate)
	}
	t.Logf("asked %v, admitted %v", asked, admitted)
	// The test allows a factor of two below the best-served organisation, or below the
	// own demand.
	g.Expect(admitted["few"]).To(BeNumerically(">", min(asked["few"], admitted["many"])/2))
	g.Expect(admitted["many"]).To(BeNumerically(">", admitted["few"]))
}

// TestIdleProcessorRefusesNothing: requests that cost less than initialCost are
// admitted while there is processor time for them.
func TestIdleProcessorRefusesNothing(t *testing.T) {
	g := NewWithT(t)
	m := newSimProcessor(0.8, 300*time.Microsecond, 45*time.Microsecond)
	m.run(1200, time.Second)
	m.waits, m.refused = nil, 0
	m.run(1200, 3*time.Second)
	t.Logf("admitted %d, refused %d", len(m.waits), m.refused)
	g.Expect(m.refused).To(BeNumerically("<", len(m.waits)/50))
}
