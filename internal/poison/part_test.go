package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// poisonPart is the part of prompts that crashes upstreams in the tests.
const poisonPart = 666

// numbered returns a request that is not repeated, with parts.
func numbered(n int, parts ...uint64) Request {
	return Request{Fingerprint: uint64(1_000_000 + n), Parts: parts}
}

func TestPartsAreBlocked(t *testing.T) {
	for _, row := range []struct {
		name string
		play func(s *State)
		// part and shared say whether requests with the poison part, and those with the
		// part that all share, are blocked at 10 s.
		part, shared bool
	}{
		{"three requests, the shared part served before", func(s *State) {
			s.Succeeded(at(0), numbered(0, 1))
			for i := range 3 {
				crash(s, at(1+float64(i)), RunID(i), numbered(i, 1, poisonPart))
			}
		}, true, false},
		{"three requests, the shared part served meanwhile", func(s *State) {
			for i := range 3 {
				crash(s, at(1+float64(i)), RunID(i), numbered(i, 1, poisonPart))
				s.Succeeded(at(1.5+float64(i)), numbered(100+i, 1))
			}
		}, true, false},
		{"three requests with other parts that nobody has served", func(s *State) {
			for i := range 3 {
				crash(s, at(1+float64(i)), RunID(i), numbered(i, uint64(i), poisonPart))
			}
		}, true, false},
		{"one request, repeated", func(s *State) {
			for i := range 3 {
				crash(s, at(1+float64(i)), RunID(i), Request{Fingerprint: 1, Parts: []uint64{1, poisonPart}})
			}
		}, false, false},
		{"one request, repeated, and then another one", func(s *State) {
			for i := range 3 {
				crash(s, at(1+float64(i)), RunID(i), Request{Fingerprint: 1, Parts: []uint64{1, poisonPart}})
			}
			s.Succeeded(at(5), numbered(0, 1))
			crash(s, at(6), 4, numbered(2, 1, poisonPart))
		}, true, false},
		{"one request that crashes upstreams, sound ones beside it", func(s *State) {
			for i := range 5 {
				crash(s, at(1+float64(i)), RunID(i), Request{Fingerprint: 1, Parts: []uint64{1}}, numbered(i, 1, poisonPart))
			}
		}, false, false},
		{"parts that nobody has served and that come together", func(s *State) {
			for i := range 3 {
				crash(s, at(1+float64(i)), RunID(i), numbered(i, 1, poisonPart))
			}
		}, true, false},
		{"parts that come together, judged late", func(s *State) {
			s.SetSettleTime(6 * time.Second)
			for i := range 5 {
				crash(s, at(float64(i)/2), RunID(i), numbered(i, 1, poisonPart))
			}
		}, true, false},
		{"the poison one is told of later than what was in flight beside it", func(s *State) {
			s.SetSettleTime(100 * time.Millisecond)
			for i := range 3 {
				crash(s, at(1+float64(i)), RunID(i), numbered(i, 1))
				s.Learn(at(1.03+float64(i)), []Fact{{Kind: FactSuspect, Trait: Trait{KindPart, poisonPart}, Run: RunID(i)}})
				s.Tick(at(1.5 + float64(i)))
			}
			crash(s, at(4), 3, numbered(3, poisonPart))
		}, true, false},
		{"beside the poison one at many crashes", func(s *State) {
			s.SetSettleTime(500 * time.Millisecond)
			for i := range 30 {
				requests := []Request{numbered(2*i, 2, poisonPart)}
				if i < 6 {
					requests = append(requests, numbered(2*i+1, 1))
				}
				crash(s, at(1+float64(i)/20), RunID(i), requests...)
			}
		}, true, false},
		{"a part before the poison one, once in flight without it", func(s *State) {
			crash(s, at(1), 1, numbered(1, 1))
			crash(s, at(2), 2, numbered(2, 1, poisonPart))
			crash(s, at(3), 3, numbered(3, 1, poisonPart))
		}, false, false},
		{"parts that come together, and another one, at five crashes", func(s *State) {
			s.SetSettleTime(6 * time.Second)
			for i := range 5 {
				crash(s, at(float64(i)/2), RunID(i), numbered(i, 1, poisonPart), numbered(10+i, 2))
			}
		}, true, false},
		{"the first part is the poison one", func(s *State) {
			for i := range 6 {
				crash(s, at(1+float64(i)), RunID(i), numbered(i, poisonPart, uint64(2+i/3)))
			}
			for i := range 3 {
				crash(s, at(7+float64(i)/2), RunID(10+i), numbered(10+i, poisonPart, uint64(10+i)))
			}
		}, true, false},
		{"served elsewhere before, in flight beside the poison one", func(s *State) {
			peer := New()
			peer.Succeeded(at(0), numbered(0, 1))
			for i := range 3 {
				crash(peer, at(1+float64(i)), RunID(i), numbered(i, 1))
				s.Learn(at(1+float64(i)), peer.News(at(1+float64(i))))
			}
			for i := range 2 {
				crash(s, at(4+float64(i)), RunID(3+i), numbered(3+i, poisonPart))
			}
		}, false, false},
		{"upstreams lost together", func(s *State) {
			for i := range 6 {
				crash(s, at(1), RunID(i), numbered(i, 1, poisonPart))
			}
		}, false, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			s := New()
			row.play(s)
			s.Tick(at(10))
			g.Expect(blocked(s, at(10), numbered(200, poisonPart))).To(Equal(row.part))
			g.Expect(blocked(s, at(10), numbered(201, 1))).To(Equal(row.shared))
		})
	}
}

// TestPoisonPartIsFoundAmongOthers plays upstreams that each serve many requests and crash
// when one with the poison part begins: it is blocked within the five crashes after which
// the users count, and nothing else stays blocked. Several routers each see their own
// requests.
func TestPoisonPartIsFoundAmongOthers(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			g := NewWithT(t)
			p := newSimulation(seed)
			p.run(20 * time.Second)
			g.Expect(p.crashesUntilBlocked).To(BeNumerically("<=", 5+maxLateCrashes))
			for i, s := range p.routers {
				g.Expect(blocked(s, p.now, numbered(0, poisonPart))).To(BeTrue(), "router %d", i)
				for part := range uint64(sharedParts) {
					g.Expect(blocked(s, p.now, numbered(0, part))).To(BeFalse(), "router %d, part %d", i, part)
				}
			}
			g.Expect(p.wronglyRefused).To(BeNumerically("<=", p.requests/50))
		})
	}
}

const (
	// maxLateCrashes allows for requests that are in flight at the fifth crash.
	maxLateCrashes = 3
	// sharedParts is the number of parts that sound requests share in the simulation.
	sharedParts   = 40
	playRouters   = 6
	playUpstreams = 12
)

// simulation is a load of requests on routers and upstreams.
type simulation struct {
	now     time.Time
	rng     *rand.Rand
	routers []*State
	// inFlight holds the requests at each upstream, runs is the number of its run and
	// downUntil when it is back after a crash.
	inFlight  [playUpstreams][]flight
	runs      [playUpstreams]int
	downUntil [playUpstreams]time.Time

	requests, wronglyRefused, crashesUntilBlocked int
}

type flight struct {
	router  int
	request Request
	ends    time.Time
	poison  bool
}

func newSimulation(seed uint64) *simulation {
	p := &simulation{now: epoch, rng: rand.New(rand.NewPCG(seed, 1))}
	for range playRouters {
		p.routers = append(p.routers, New())
		p.routers[len(p.routers)-1].SetSettleTime(100 * time.Millisecond)
	}
	return p
}

// run plays 100 requests a second, of which one in 20 has the poison part from 5 s on, and
// lets the routers exchange what they know each 50 ms.
func (p *simulation) run(length time.Duration) {
	for step := 0; p.now.Before(epoch.Add(length)); step++ {
		p.now = p.now.Add(10 * time.Millisecond)
		p.arrive(p.now.Sub(epoch) > 5*time.Second && p.rng.IntN(20) == 0)
		for u := range p.inFlight {
			p.advance(u)
		}
		if step%5 == 0 {
			p.exchange()
			for _, s := range p.routers {
				s.Tick(p.now)
			}
		}
	}
}

// arrive sends a request to a router, and on to the upstream with the fewest in flight.
func (p *simulation) arrive(poison bool) {
	p.requests++
	parts := []uint64{p.rng.Uint64N(4), 4 + p.rng.Uint64N(sharedParts-4)}
	if poison {
		parts[1] = poisonPart
	}
	request := numbered(p.requests, parts...)
	router := p.rng.IntN(playRouters)
	if blocked(p.routers[router], p.now, request) {
		if !poison {
			p.wronglyRefused++
		}
		return
	}
	best := -1
	for u := range p.inFlight {
		if p.now.After(p.downUntil[u]) && (best < 0 || len(p.inFlight[u]) < len(p.inFlight[best])) {
			best = u
		}
	}
	if best < 0 {
		return
	}
	length := 100*time.Millisecond + time.Duration(p.rng.IntN(1500))*time.Millisecond
	if poison {
		length = 100 * time.Millisecond
	}
	p.inFlight[best] = append(p.inFlight[best], flight{router, request, p.now.Add(length), poison})
}

// advance ends the requests of an upstream that are done, and crashes it if one is poison.
func (p *simulation) advance(u int) {
	var left []flight
	crashed := false
	for _, f := range p.inFlight[u] {
		switch {
		case p.now.Before(f.ends):
			left = append(left, f)
		case f.poison:
			crashed = true
			left = append(left, f)
		default:
			p.routers[f.router].Succeeded(p.now, f.request)
		}
	}
	p.inFlight[u] = left
	if !crashed {
		return
	}
	if !blocked(p.routers[0], p.now, numbered(0, poisonPart)) {
		p.crashesUntilBlocked++
	}
	id := RunID(1000*(u+1) + p.runs[u])
	for _, f := range left {
		p.routers[f.router].Broken(p.now, id, f.request)
	}
	for _, f := range left {
		p.routers[f.router].Crashed(p.now, id)
	}
	p.inFlight[u], p.downUntil[u] = nil, p.now.Add(3*time.Second)
	p.runs[u]++
}

// exchange lets each router tell the others what it knows.
func (p *simulation) exchange() {
	for from, s := range p.routers {
		news := s.News(p.now)
		for to, other := range p.routers {
			if to != from {
				other.Learn(p.now, news)
			}
		}
	}
}

// A request that was in flight at crashes by chance and was blocked before the poison part
// was known is released once it is, and not blocked again by a peer that has not seen that.
func TestBlockOfThePartReleasesRequests(t *testing.T) {
	g := NewWithT(t)
	s, peer := New(), New()
	s.SetSettleTime(100 * time.Millisecond)
	peer.Learn(at(3), []Fact{{Kind: FactBlocked, Trait: Trait{KindRequest, sound.Fingerprint}, Left: BlockTime}})
	for i := range 3 {
		crash(s, at(1+float64(i)), RunID(i), sound, numbered(i, poisonPart))
	}
	g.Expect(blocked(s, at(3), sound)).To(BeTrue())
	crash(s, at(3.5), 3, numbered(3, poisonPart))
	s.Tick(at(3.7))
	g.Expect(blocked(s, at(3.7), numbered(9, poisonPart))).To(BeTrue())
	g.Expect(blocked(s, at(3.7), sound)).To(BeFalse())
	s.Learn(at(4), peer.News(at(4)))
	g.Expect(blocked(s, at(4), sound)).To(BeFalse())
}
