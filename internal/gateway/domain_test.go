package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/offload"
)

// simDomain simulates the routers of a failure domain.
type simDomain struct {
	now     time.Time
	routers []*simProcessor
	// peers is what each router knows of the others, reported when reported says.
	peers    []offload.State
	reported time.Time
	// asked and served count requests by organisation.
	asked, served map[string]int
}

// newSimDomain simulates two routers of 0.8 cores, which come first, and nine of 0.192.
func newSimDomain() *simDomain {
	d := &simDomain{asked: make(map[string]int), served: make(map[string]int)}
	for i := range 11 {
		cores := 0.192
		if i < 2 {
			cores = 0.8
		}
		d.routers = append(d.routers, newSimProcessor(cores, time.Millisecond, 47*time.Microsecond))
	}
	d.now, d.peers = d.routers[0].now, make([]offload.State, len(d.routers))
	return d
}

// simCallers are the callers of an organisation that reach one router.
type simCallers struct {
	organisation string
	router       int
	perSecond    float64
}

// run simulates requests that arrive at constant rates.
func (d *simDomain) run(length time.Duration, callers ...simCallers) {
	const step = 100 * time.Microsecond
	due := make([]float64, len(callers))
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(step) {
		for _, m := range d.routers {
			if m.now = d.now; m.now.Sub(m.sampled) >= sweepInterval {
				m.sample()
			}
		}
		if d.now.Sub(d.reported) >= simReportInterval {
			d.report()
		}
		for i, c := range callers {
			for due[i] += c.perSecond * step.Seconds(); due[i] >= 1; due[i]-- {
				d.asked[c.organisation]++
				if d.request(c.router, c.organisation) {
					d.served[c.organisation]++
				}
			}
		}
	}
}

// report passes on what each router has to spare to the others.
func (d *simDomain) report() {
	d.reported = d.now
	for i := range d.peers {
		for j, m := range d.routers {
			if i != j {
				spare := m.pressure.admission.spareCores()
				if m.pressure.isHigh() {
					spare = 0
				}
				d.peers[i].Report(d.now, fmt.Sprint(j), spare)
			}
		}
	}
}

// request simulates one request, as shedListener treats it, and reports whether it was
// served.
func (d *simDomain) request(router int, org string) bool {
	m := d.routers[router]
	control, peers := m.pressure.admission, &d.peers[router]
	cost := control.requestCost()
	if control.mustRefuse(d.now, peers.Available(d.now, cost)) && !control.wouldServe(d.now, org) {
		control.recordUnpolledRefusal()
		return m.drop(unpolledRefusalCost)
	}
	if control.admit(d.now, peers.Available(d.now, cost)) {
		control.attribute(d.now, org)
		return m.serve()
	}
	if peers.Available(d.now, cost) {
		if _, ok := control.chargeOffload(); ok {
			addr, _ := peers.Choose(d.now, cost)
			m.spend(m.cost.offload)
			return d.takeOffloaded(addr, peers)
		}
	}
	if control.admitLate() || control.admitUnderserved(d.now, org) {
		return m.serve()
	}
	return m.refuse(m.cost.refusal)
}

// takeOffloaded simulates a request that is offloaded to a router.
func (d *simDomain) takeOffloaded(addr string, peers *offload.State) bool {
	var i int
	if _, err := fmt.Sscan(addr, &i); err != nil {
		panic(err)
	}
	m := d.routers[i]
	if !m.pressure.admission.admitOffloaded(d.now) {
		peers.Refused(d.now, addr)
		return m.refuse(m.cost.refusal)
	}
	return m.serve()
}

// TestOrganisationAtOneSmallRouterIsNotStarved: the callers of one organisation reach one
// small router at a time, those of another one a router with more cores.
func TestOrganisationAtOneSmallRouterIsNotStarved(t *testing.T) {
	for _, rate := range []float64{300, 1200} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) { expectShare(t, rate) })
	}
}

// TestFloodAtOneSmallRouterLeavesItsOrganisationAShare: the same at the rate at which
// refusals alone used to take most of the small router's time.
func TestFloodAtOneSmallRouterLeavesItsOrganisationAShare(t *testing.T) { expectShare(t, 2400) }

// expectShare checks what an organisation gets that sends this many requests a second.
func expectShare(t *testing.T, rate float64) {
	g := NewWithT(t)
	d := newSimDomain()
	for _, small := range []int{4, 7, 9} {
		callers := []simCallers{{"herd", small, rate}, {"other", 0, 600}}
		for i := range d.routers {
			callers = append(callers, simCallers{"rest", i, 20})
		}
		d.run(2*time.Second, callers...)
	}
	t.Logf("asked %v, served %v", d.asked, d.served)
	d.expectPrompt(g)
	// The users compare an organisation with half of what it asked for, or of what the
	// best-served one got.
	g.Expect(float64(d.served["herd"])).To(BeNumerically(">=", 0.5*float64(min(d.asked["herd"], d.served["other"]))))
}

// simReportInterval is the time between two reports of a router.
const simReportInterval = 150 * time.Millisecond

// expectPrompt checks that no router lets a tenth of its requests wait for the processor
// for longer than the tightest latency target of the users' requests.
func (d *simDomain) expectPrompt(g Gomega) {
	for i, m := range d.routers {
		late := 0
		for _, w := range m.waits {
			if w > 300*time.Millisecond {
				late++
			}
		}
		g.Expect(late).To(BeNumerically("<=", len(m.waits)/10), "router %d", i)
	}
}
