package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// simDomain simulates the routers of a failure domain.
type simDomain struct {
	now     time.Time
	routers []*simProcessor
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
	d.now = d.routers[0].now
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

// request simulates one request and reports whether it was served.
func (d *simDomain) request(router int, org string) bool {
	return d.routers[router].request(org)
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
	// The users compare an organisation with half of what it asked for, or of what the
	// best-served one got.
	g.Expect(float64(d.served["herd"])).To(BeNumerically(">=", 0.5*float64(min(d.asked["herd"], d.served["other"]))))
}
