package relay

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/jujubeford/jujubeford/internal/dispatch"
	"github.com/jujubeford/jujubeford/internal/poison"
)

// fleet simulates routers that exchange reports over a network with delay and loss.
type fleet struct {
	now     time.Time
	rng     *rand.Rand
	loss    float64
	routers map[string]*simRouter
	order   []string
	pending deliveries
	serial  uint64
	// cut reports whether nothing passes from one router to another.
	cut func(from, to string) bool
}

// simRouter is a router of the fleet with the load that it reports.
type simRouter struct {
	router Router
	state  *State
	load   dispatch.Report
	// views are the sums in use, by name.
	// speeds holds the measured speeds of each view, and speedReports counts reports of them.
	speeds       map[string]speeds
	speedReports int
	views        map[string]dispatch.Report
	// crashes counts how often each fact of a crash was in a view.
	crashes map[poison.Fact]int
	// down means that it neither sends nor receives: killed, frozen or cut off.
	down bool
	// seenAt is when a view of a single router arrived.
	seenAt map[string]time.Time
	// unreported is the change of its load since its last report, in tokens.
	unreported int
	// sent and received count datagrams.
	sent, received int
	// sentAcross counts datagrams to other failure domains.
	sentAcross int
}

type delivery struct {
	at       time.Time
	sequence uint64
	to       string
	handle   func(r *simRouter)
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].sequence < d[j].sequence
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// newFleet returns a fleet of n routers in several failure domains. Every tenth router
// has more cores.
func newFleet(n, domains int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(uint64(n), uint64(domains))), routers: make(map[string]*simRouter),
		cut: func(string, string) bool { return false },
	}
	var list []Router
	for i := range n {
		r := Router{Addr: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), Domain: fmt.Sprint("d", i%domains), Cores: 0.2}
		if i%10 == 9 {
			r.Cores = 0.8
		}
		list = append(list, r)
	}
	for i, r := range list {
		s := &simRouter{router: r, state: New(r), views: make(map[string]dispatch.Report), speeds: make(map[string]speeds), crashes: make(map[poison.Fact]int), seenAt: make(map[string]time.Time)}
		s.state.SetRouters(list)
		s.setLoad(i+1, 0)
		f.routers[r.Addr] = s
		f.order = append(f.order, r.Addr)
		f.schedule(time.Duration(f.rng.Int64N(int64(TickInterval))), r.Addr, f.tick)
	}
	return f
}

// setLoad gives the router a number of attempts at an upstream of its own and at one that
// all routers use.
func (r *simRouter) setLoad(key, running int) {
	r.load = dispatch.NewReport()
	r.load.Loads[uint32(key)] = dispatch.Load{Running: running}
	r.load.Loads[1<<20] = dispatch.Load{Running: running}
	r.load.Usage[7] = dispatch.Usage{Demand: 100 * float64(running), Started: 100 * float64(running)}
	r.unreported = reportThreshold
}

func (f *fleet) schedule(after time.Duration, to string, handle func(r *simRouter)) {
	f.serial++
	heap.Push(&f.pending, delivery{f.now.Add(after), f.serial, to, handle})
}

// run lets time pass.
func (f *fleet) run(length time.Duration) {
	end := f.now.Add(length)
	for len(f.pending) > 0 && !f.pending[0].at.After(end) {
		d := heap.Pop(&f.pending).(delivery)
		f.now = d.at
		d.handle(f.routers[d.to])
	}
	f.now = end
}

func (f *fleet) tick(r *simRouter) {
	defer func() { f.schedule(r.state.NextTick(r.unreported), r.router.Addr, f.tick) }()
	if r.down {
		return
	}
	for addr, at := range r.seenAt {
		if f.now.Sub(at) > loadTimeout {
			delete(r.views, addr)
			delete(r.seenAt, addr)
		}
	}
	for _, e := range r.state.Tick(f.now, r.unreported, false, func() dispatch.Report {
		r.unreported = 0
		return copyReport(r.load)
	}) {
		f.carryOut(r, e)
	}
}

func (f *fleet) carryOut(r *simRouter, e Effect) {
	f.serial++
	serial := f.serial
	switch e := e.(type) {
	case SendReport:
		r.state.Reported(serial, e.Report)
		for _, to := range e.To {
			f.send(r, to, func(other *simRouter) {
				other.state.HandleReport(f.now, r.router.Addr, serial, r.state.status, copyReport(e.Report))
				if other.state.Direct() {
					other.use(r.router.Addr, copyReport(e.Report))
					other.seenAt[r.router.Addr] = f.now
				}
			})
		}
	case SendDomain:
		for _, to := range e.To {
			sum := Sum{From: r.router.Addr, Domain: r.router.Domain, Status: r.state.status, Members: e.Members, Applied: to.Applied, Watch: to.Watch}
			f.send(r, to.Addr, func(other *simRouter) {
				report := copyReport(e.Report)
				switch {
				case other.router.Domain != sum.Domain:
					if other.state.AcceptRemote(f.now, sum) {
						other.state.SetRemote(sum.Domain, report)
					}
				case other.state.AcceptDomain(f.now, sum) && !other.state.Direct():
					other.use(DomainView, other.state.WithoutOwn(report, sum.Applied))
				}
			})
		}
	case SendElsewhere:
		for _, to := range e.To {
			sum := Sum{From: r.router.Addr, Domain: r.router.Domain, Status: r.state.status}
			f.send(r, to.Addr, func(other *simRouter) {
				if other.state.AcceptElsewhere(f.now, sum) {
					other.use(ElsewhereView, copyReport(e.Report))
				}
			})
		}
	case Apply:
		r.use(e.Name, copyReport(e.Report))
	case Drop:
		delete(r.views, e.Name)
	}
}

// use puts a view in use at a router.
func (r *simRouter) use(name string, report dispatch.Report) {
	if report.Speeds != nil {
		r.speeds[name] = report.Speeds
		r.speedReports++
	}
	r.views[name] = report
	for _, fact := range report.Crashes {
		r.crashes[fact]++
	}
}

func (f *fleet) send(r *simRouter, to string, handle func(other *simRouter)) {
	r.sent++
	if other := f.routers[to]; other.router.Domain != r.router.Domain {
		r.sentAcross++
	}
	if f.rng.Float64() < f.loss || f.cut(r.router.Addr, to) {
		return
	}
	f.schedule(time.Millisecond+time.Duration(f.rng.Int64N(int64(time.Millisecond))), to, func(other *simRouter) {
		if !other.down {
			other.received++
			handle(other)
		}
	})
}

// sees returns the number of attempts at the shared upstream that a router knows of.
func (r *simRouter) sees() int {
	n := r.load.Loads[1<<20].Running
	for _, v := range r.views {
		n += v.Loads[1<<20].Running
	}
	return n
}

func copyReport(r dispatch.Report) dispatch.Report {
	c := dispatch.NewReport()
	c.Add(r)
	c.Placements = append(c.Placements, r.Placements...)
	c.Crashes = append(c.Crashes, r.Crashes...)
	c.Speeds = maps.Clone(r.Speeds)
	return c
}
