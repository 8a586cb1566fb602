package coldstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

// usual is the bound of an upstream in the operators' data sheet.
var usual = Bound{Duration: 3 * time.Second, PerSecond: 9.8, Most: 19.7}

// router is one router's view of an upstream and of the fleet.
type router struct {
	fleet Fleet
	u     Upstream
}

// newRouters returns routers that are registered in four failure domains.
func newRouters(n int) []*router {
	names, domains := names(n)
	list := make([]*router, n)
	for i := range list {
		list[i] = &router{}
		list[i].fleet.Set(start, names[i], names, domains)
	}
	return list
}

func names(n int) (list []string, domains map[string]string) {
	domains = make(map[string]string)
	for i := range n {
		name := fmt.Sprint("router", i)
		list = append(list, name)
		domains[name] = fmt.Sprint("d", i%4)
	}
	return list, domains
}

// play lets all routers send as soon as they may, to an upstream that each knows to be cold
// after its delay, and returns the arrivals.
func play(routers []*router, b Bound, learn func(i int) time.Duration, lasts time.Duration, random *rand.Rand) (arrivals []time.Time) {
	for passed := time.Duration(0); passed < lasts; passed += 5 * time.Millisecond {
		now := start.Add(passed)
		for i, r := range routers {
			if passed < learn(i) {
				continue
			}
			r.u.SetCold(now, Stated, start.Add(lasts))
			if !r.u.NextSend(&r.fleet, b, "u", "d1").After(now) {
				r.u.Take(now)
				arrivals = append(arrivals, now.Add(time.Duration(random.Int64N(int64(MaxDelay)))))
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	return arrivals
}

// most returns the largest number of arrivals in any second.
func most(arrivals []time.Time) (n int) {
	first := 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= second {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// However many routers there are and whenever they learn of it, a cold upstream gets no more
// than its bound in any second, and three quarters of what it tolerates if the bound leaves
// half of that for requests that come together.
func TestBoundHoldsForAnyNumberOfRouters(t *testing.T) {
	for _, b := range []Bound{usual, {PerSecond: 1, Most: 6.5}, {PerSecond: 40, Most: 65}, {PerSecond: 9.8, Most: 9.8}, {PerSecond: 0.4, Most: 5.6}} {
		for _, n := range []int{1, 2, 6, 10, 13, 85, 420} {
			t.Run(fmt.Sprintf("%g a second, %d routers", b.PerSecond, n), func(t *testing.T) {
				g, random := NewWithT(t), rand.New(rand.NewPCG(uint64(n), 1))
				const lasts = 10 * time.Second
				arrivals := play(newRouters(n), b, func(int) time.Duration { return time.Duration(random.Int64N(int64(time.Second))) }, lasts, random)
				g.Expect(float64(most(arrivals))).To(BeNumerically("<=", b.Most))
				least := 0.4
				if b.Most >= 1.5*b.PerSecond {
					least = 0.75
				}
				// They learn of it within a second.
				g.Expect(float64(len(arrivals))).To(BeNumerically(">=", least*b.PerSecond*(lasts-second).Seconds()-1))
			})
		}
	}
}

// A router that knows fewer of the others than they do may take itself for a sender. The
// bound holds while one domain in four sees only itself.
func TestBoundHoldsWhileViewsDiffer(t *testing.T) {
	g := NewWithT(t)
	routers := newRouters(85)
	all, domains := names(85)
	for i, r := range routers {
		if i%4 != 0 {
			continue
		}
		own := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return domains[name] != "d0" })
		r.fleet.Set(start.Add(time.Second), all[i], own, domains)
	}
	arrivals := play(routers, usual, func(int) time.Duration { return 0 }, 10*time.Second, rand.New(rand.NewPCG(1, 1)))
	g.Expect(float64(most(arrivals))).To(BeNumerically("<=", usual.Most))
}

// Senders are the same by the view of each router, in the upstream's failure domain first.
func TestSendersAreInTheUpstreamsDomain(t *testing.T) {
	g := NewWithT(t)
	senders := 0
	for i, r := range newRouters(85) {
		r.u.SetCold(start, Stated, start.Add(time.Second))
		if r.u.Interval(&r.fleet, usual, "u", "d1") > 0 {
			senders++
			g.Expect(i % 4).To(Equal(1))
		}
	}
	g.Expect(senders).To(Equal(usual.Divide(85).Senders))
}

// Requests that had to go to a cold upstream delay those that follow, and a bound that
// admits no request admits none.
func TestRequestsThatWereNotDueCount(t *testing.T) {
	g, r := NewWithT(t), newRouters(1)[0]
	r.u.SetCold(start, Seen, start.Add(3*time.Second))
	next := func() time.Duration { return r.u.NextSend(&r.fleet, usual, "u", "d1").Sub(start) }
	interval := next()
	for range 5 {
		r.u.Take(start.Add(interval))
	}
	g.Expect(next()).To(Equal(6 * interval))
	g.Expect(r.u.NextSend(&r.fleet, Bound{PerSecond: 0.5, Most: 0.5}, "u", "d1")).To(Equal(start.Add(3 * time.Second)))
}

// The word of an entry replaces the one before, and what was seen or told only extends it.
func TestSourcesOfTheTemperature(t *testing.T) {
	g := NewWithT(t)
	var u Upstream
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	g.Expect(u.SetCold(start, Stated, at(3))).To(BeTrue())
	g.Expect(u.SetCold(start, Told, at(2))).To(BeFalse())
	g.Expect(u.SetCold(at(1), Stated, at(1))).To(BeFalse())
	g.Expect(u.Cold(at(1))).To(BeTrue())
	g.Expect(u.Cold(at(2))).To(BeFalse())
	g.Expect(u.SetCold(at(2), Seen, at(4))).To(BeTrue())
	g.Expect(u.SetCold(at(2), Seen, at(3))).To(BeFalse())
	g.Expect(u.Until()).To(Equal(at(4)))
}

// A router whose registration lapses keeps its place for a while.
func TestLapsedRegistrationsKeepTheirPlace(t *testing.T) {
	g := NewWithT(t)
	var f Fleet
	f.Set(start, "a", []string{"a", "b", "c"}, nil)
	f.Set(start.Add(time.Second), "a", []string{"a"}, nil)
	g.Expect(f.Routers()).To(Equal([]string{"a", "b", "c"}))
	f.Set(start.Add(time.Second+routerMemory), "a", []string{"a", "c"}, nil)
	g.Expect(f.Routers()).To(Equal([]string{"a", "c"}))
}

// Lists of routers come with each change of the directory; what follows from them is computed
// anew only if they differ.
func TestVersionChangesWithTheView(t *testing.T) {
	g := NewWithT(t)
	var f Fleet
	set := func(now time.Time, self string, domains map[string]string, registered ...string) (changed bool) {
		before := f.Version()
		f.Set(now, self, registered, domains)
		return f.Version() != before
	}
	now, a := time.Unix(1000, 0), map[string]string{"r1": "a", "r2": "a"}
	g.Expect(set(now, "r1", a, "r1", "r2")).To(BeTrue())
	g.Expect(set(now, "r1", a, "r2", "r1")).To(BeFalse())
	g.Expect(set(now, "r1", map[string]string{"r1": "a", "r2": "b"}, "r1", "r2")).To(BeTrue())
	g.Expect(set(now, "r2", a, "r1", "r2")).To(BeTrue())
	g.Expect(set(now, "r2", a, "r2")).To(BeTrue(), "lapsed")
	g.Expect(set(now.Add(time.Second), "r2", a, "r2")).To(BeFalse())
	g.Expect(set(now.Add(time.Minute), "r2", a, "r2")).To(BeTrue(), "forgotten")
}
