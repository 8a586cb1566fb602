package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/porttest"
	"github.com/jujubeford/jujubeford/internal/routing"
)

// TestOffloadsGoToPeersThatWouldAnswerAlike: not to one of another failure domain, that is
// stopping, has lost the store or an older configuration, or takes no connections.
func TestOffloadsGoToPeersThatWouldAnswerAlike(t *testing.T) {
	for name, x := range map[string]struct {
		change func(d *datagram)
		want   bool
	}{
		"like this router":    {func(*datagram) {}, true},
		"newer configuration": {func(d *datagram) { d.config++ }, true},
		"older configuration": {func(d *datagram) { d.config-- }, false},
		"other domain":        {func(d *datagram) { d.domain = "other" }, false},
		"stopping":            {func(d *datagram) { d.leaving = true }, false},
		"store lost":          {func(d *datagram) { d.storeLost = true }, false},
		"no time to spare":    {func(d *datagram) { d.spare = 0 }, false},
		"takes none":          {func(d *datagram) { d.offloadPort = 0 }, false},
		"address malformed":   {func(d *datagram) { d.addr = "x" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			gw := &Gateway{options: Options{Domain: "d"}, pressure: pressure{admission: newAdmission(1)}}
			gw.table.Store(routing.NewTable(7, routing.Limits{}, nil, nil, nil))
			o := newOffloader(gw)
			d := datagram{addr: "10.0.0.1:7400", domain: "d", config: 7, spare: 0.5, offloadPort: 7402}
			now := time.Unix(1000, 0)
			o.handleReport(now, &d)
			x.change(&d)
			later := now.Add(100 * time.Millisecond)
			o.handleReport(later, &d)
			if name == "other domain" || name == "takes none" || name == "address malformed" {
				// What was heard before does not count here.
				o = newOffloader(gw)
				o.handleReport(now, &d)
			}
			g.Expect(o.available(later)).To(Equal(x.want))
			addr, ok := o.choose(later)
			g.Expect(ok).To(Equal(x.want))
			if x.want {
				g.Expect(addr).To(Equal("10.0.0.1:7402"))
			}
		})
	}
}

// TestOffloadAddressInUseIsNoReasonToStop: the router serves its callers and tells its peers
// that it takes no connections.
func TestOffloadAddressInUseIsNoReasonToStop(t *testing.T) {
	g := NewWithT(t)
	addr := porttest.Address(t)
	first := &Gateway{options: Options{OffloadListen: addr}}
	ln := first.listenForPeers(t.Context())
	g.Expect(ln).NotTo(BeNil())
	defer ln.Close()
	g.Expect(first.offloadPort.Load()).NotTo(BeZero())
	second := &Gateway{options: Options{OffloadListen: addr}}
	g.Expect(second.listenForPeers(t.Context())).To(BeNil())
	g.Expect(second.offloadPort.Load()).To(BeZero())
	g.Expect((&Gateway{}).listenForPeers(t.Context())).To(BeNil())
}

// TestSpareTime: what the router's own callers leave, nothing while goroutines wait.
func TestSpareTime(t *testing.T) {
	g := NewWithT(t)
	a := newAdmission(0.5)
	now := time.Unix(1000, 0)
	sample := func(own, offloaded int, lag time.Duration) float64 {
		for range own {
			g.Expect(a.admit(now, false)).To(BeTrue())
		}
		for range offloaded {
			g.Expect(a.admitOffloaded(now)).To(BeTrue())
		}
		now = now.Add(time.Second)
		a.adjustCost(now, lag, 0)
		return a.spareCores()
	}
	sample(0, 0, 0)
	for range 10 {
		sample(0, 0, 0)
	}
	g.Expect(a.spareCores()).To(BeNumerically("~", 0.4, 0.001))
	for range 10 {
		sample(30, 0, 0)
	}
	g.Expect(a.spareCores()).To(BeNumerically("~", 0.37, 0.001))
	for range 10 {
		sample(30, 5, 0)
	}
	g.Expect(a.spareCores()).To(BeNumerically("~", 0.37, 0.001), "connections of others count as spare")
	g.Expect(sample(0, 0, lagLow)).To(BeZero())
	g.Expect(newAdmission(0).spareCores()).To(Equal(unlimitedSpare))
}
