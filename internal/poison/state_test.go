package poison

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var epoch = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// The requests of the tests.
var (
	poison = Request{Fingerprint: 1}
	sound  = Request{Fingerprint: 2}
)

// crash lets the requests' connections to an upstream break because it crashes.
func crash(s *State, now time.Time, id RunID, requests ...Request) {
	for _, r := range requests {
		s.Broken(now, id, r)
	}
	s.Crashed(now, id)
	s.Tick(now)
}

func blocked(s *State, now time.Time, r Request) bool {
	_, _, blocked := s.Blocked(now, r)
	return blocked
}

func TestBlocked(t *testing.T) {
	for _, row := range []struct {
		name string
		play func(s *State)
		// poison and sound say which of the two is blocked at 10 s.
		poison, sound bool
	}{
		{"two crashes", func(s *State) {
			crash(s, at(0), 1, poison)
			crash(s, at(1), 2, poison)
		}, false, false},
		{"three crashes", func(s *State) {
			crash(s, at(0), 1, poison)
			crash(s, at(1), 2, poison)
			crash(s, at(2), 3, poison)
		}, true, false},
		{"one crash, seen by several attempts", func(s *State) {
			crash(s, at(0), 1, poison, poison)
			s.Broken(at(0.1), 1, poison)
		}, false, false},
		{"one upstream, started again without saying so", func(s *State) {
			crash(s, at(0), 1, poison)
			crash(s, at(4), 1, poison)
			crash(s, at(8), 1, poison)
		}, true, false},
		{"connections lost without a crash", func(s *State) {
			for id := range RunID(5) {
				s.Broken(at(float64(id)), id, poison)
				s.Survived(id)
			}
		}, false, false},
		{"attempts that break after the crash is known", func(s *State) {
			for id := range RunID(3) {
				s.Crashed(at(float64(id)), id)
				s.Broken(at(float64(id)), id, poison)
			}
		}, true, false},
		{"a success between crashes", func(s *State) {
			crash(s, at(0), 1, poison)
			crash(s, at(1), 2, poison)
			s.Succeeded(at(1.5), poison)
			crash(s, at(2), 3, poison)
		}, false, false},
		{"upstreams lost together", func(s *State) {
			s.Succeeded(at(0), poison)
			for id := range RunID(6) {
				crash(s, at(1), id, poison)
			}
		}, false, false},
		{"five crashes after earlier successes", func(s *State) {
			s.Succeeded(at(0), poison)
			for id := range RunID(5) {
				crash(s, at(1+float64(id)), id, poison)
			}
		}, true, false},
		{"in flight beside it by chance", func(s *State) {
			crash(s, at(0), 1, poison)
			crash(s, at(1), 2, poison, sound)
			crash(s, at(2), 3, poison, sound)
			crash(s, at(3), 4, poison, sound)
			crash(s, at(4), 5, sound)
		}, true, false},
		{"in flight beside it at the first three crashes", func(s *State) {
			for id := range RunID(3) {
				crash(s, at(float64(id)), id, poison, sound)
			}
			crash(s, at(3), 4, poison)
		}, true, false},
		{"always in flight beside it", func(s *State) {
			for id := range RunID(5) {
				crash(s, at(float64(id)), id, poison, sound)
			}
		}, true, true},
		{"served by an upstream after all", func(s *State) {
			for id := range RunID(3) {
				crash(s, at(float64(id)), id, poison)
			}
			s.Succeeded(at(5), poison)
		}, false, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			s := New()
			row.play(s)
			g.Expect(blocked(s, at(10), poison)).To(Equal(row.poison))
			g.Expect(blocked(s, at(10), sound)).To(Equal(row.sound))
		})
	}
}

func TestBlockEnds(t *testing.T) {
	g := NewWithT(t)
	s := New()
	for id := range RunID(3) {
		crash(s, at(float64(id)), id, poison)
	}
	_, until, _ := s.Blocked(at(3), poison)
	g.Expect(until).To(Equal(at(2).Add(BlockTime)))
	g.Expect(blocked(s, until, poison)).To(BeFalse())
	s.Tick(until.Add(CrashTTL))
	g.Expect(s.suspicions).To(BeEmpty())
	g.Expect(s.runs).To(BeEmpty())
}

// A router that has seen none of the crashes refuses the request as well.
func TestPeersBlockToo(t *testing.T) {
	g := NewWithT(t)
	a, b, c := New(), New(), New()
	crash(a, at(0), 1, poison)
	crash(b, at(1), 2, poison)
	crash(a, at(2), 3, poison)
	c.Learn(at(2), a.News(at(2)))
	c.Learn(at(2), a.News(at(2)))
	g.Expect(blocked(c, at(2), poison)).To(BeFalse())
	c.Learn(at(2), b.News(at(2)))
	g.Expect(blocked(c, at(2), poison)).To(BeTrue())
	// A router that starts later hears of the block, not of the crashes.
	started := New()
	started.Learn(at(4), c.News(at(4)))
	g.Expect(blocked(started, at(4), poison)).To(BeTrue())
	_, until, _ := started.Blocked(at(4), poison)
	g.Expect(until).To(BeTemporally("<=", at(2).Add(BlockTime)))
}

// Requests whose connections broke are suspected once any router knows of the crash.
func TestCrashSeenByPeer(t *testing.T) {
	g := NewWithT(t)
	s := New()
	for id := range RunID(3) {
		s.Broken(at(float64(id)), id, poison)
		s.Learn(at(float64(id)), []Fact{{Kind: FactSuspect, Trait: Trait{KindRequest, 9}, Run: id}})
		s.Learn(at(float64(id)), []Fact{{Kind: FactCleared, Trait: Trait{KindRequest, 9}}})
	}
	g.Expect(blocked(s, at(3), poison)).To(BeTrue())
	g.Expect(blocked(s, at(3), Request{Fingerprint: 9})).To(BeFalse())
}

// A request that one router blocks and others serve is released there.
func TestServedRequestIsReleasedByPeers(t *testing.T) {
	g := NewWithT(t)
	serving, blocking := New(), New()
	serving.Succeeded(at(0), sound)
	for id := range RunID(3) {
		crash(blocking, at(1), id, sound)
	}
	g.Expect(blocked(blocking, at(1), sound)).To(BeTrue())
	serving.Learn(at(1), blocking.News(at(1)))
	g.Expect(blocked(serving, at(1), sound)).To(BeFalse())
	serving.Succeeded(at(1.5), sound)
	blocking.Learn(at(1.5), serving.News(at(1.5)))
	g.Expect(blocked(blocking, at(1.5), sound)).To(BeFalse())
}

func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := New()
	for i := range uint64(3 * maxSuspicions) {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		s.Succeeded(now, Request{Fingerprint: i + 10_000_000})
		crash(s, now, RunID(i/100), Request{Fingerprint: i + 1})
		s.Learn(now, []Fact{{Kind: FactBlocked, Trait: Trait{KindRequest, i + 5_000_000}, Left: BlockTime}})
	}
	g.Expect(len(s.suspicions)).To(BeNumerically("<=", maxSuspicions+1))
	g.Expect(s.BlockedTraits(epoch.Add(time.Minute))).To(BeNumerically("<=", maxBlocked))
	g.Expect(len(s.runs)).To(BeNumerically("<=", maxRuns))
	g.Expect(len(s.succeeded.current) + len(s.succeeded.previous)).To(BeNumerically("<=", 2*maxRecent))
	g.Expect(len(s.News(epoch.Add(time.Minute)))).To(BeNumerically("<=", maxNews))
}
