package holding

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	mib   = 1 << 20
	stall = 3 * time.Second
)

var start = time.Unix(1000, 0)

// upload is a body that arrives at its rate, in bytes a second, once it has room.
type upload struct {
	Holder
	size, got, rate int64
	outcome         Outcome
	gone, whole     bool
}

// play plays uploads that come at once against an account in steps of 100 ms, and returns how
// many were whole and the most that was held.
func play(s *State, uploads []*upload, duration time.Duration) (whole int, most int64) {
	now := start
	grant := func(list []*Holder) {
		for _, h := range list {
			h.Owner.(*upload).outcome = Granted
		}
	}
	for _, u := range uploads {
		u.Owner = u
		u.outcome = s.Await(now, &u.Holder, LargeBodies, u.size, 64<<10)
	}
	for ; now.Sub(start) < duration; now = now.Add(100 * time.Millisecond) {
		most = max(most, s.sum)
		for _, u := range uploads {
			if u.outcome != Granted || u.gone || u.whole {
				continue
			}
			n := min(u.rate/10, u.size-u.got)
			u.got += n
			s.Moved(now, &u.Holder, n)
			if u.got == u.size {
				u.whole = true
				whole++
				grant(s.Settle(now, &u.Holder, u.size))
				grant(s.Release(now, &u.Holder))
			}
		}
		gaveWay, granted := s.Tick(now, stall)
		for _, h := range gaveWay {
			h.Owner.(*upload).gone = true
		}
		grant(granted)
	}
	return whole, most
}

// A burst of bodies of the allowed size: all of them arrive, one after the other.
func TestBurstOfLargeBodiesIsServedInTurn(t *testing.T) {
	g := NewWithT(t)
	s := New(134 * mib)
	var all []*upload
	for range 27 {
		all = append(all, &upload{size: 4 * mib, rate: 16 * mib})
	}
	whole, most := play(s, all, 10*time.Second)
	g.Expect(whole).To(Equal(27))
	g.Expect(most).To(BeNumerically("<=", 134*mib/2))
	g.Expect(s.sum).To(BeZero())
	g.Expect(s.holders).To(BeEmpty())
}

// Bodies that stop arriving give way to one of another caller, and only while it waits.
func TestStalledBodiesGiveWay(t *testing.T) {
	g := NewWithT(t)
	s := New(112 * mib)
	var all []*upload
	for i := range 60 {
		// Most of them arrive but for their end.
		u := &upload{Holder: Holder{Caller: "crowd"}, size: 4 * mib, rate: 40 * mib}
		if i%3 > 0 {
			u.rate = 0
		}
		all = append(all, u)
	}
	other := &upload{Holder: Holder{Caller: "other"}, size: 4 * mib, rate: 4 * mib}
	whole, _ := play(s, append(all, other), 6*time.Second)
	g.Expect(other.whole).To(BeTrue())
	g.Expect(whole).To(BeNumerically(">", 1))

	s = New(112 * mib)
	lone := &upload{size: 4 * mib}
	play(s, []*upload{lone}, 20*time.Second)
	g.Expect(lone.gone).To(BeFalse())
}

func TestRoomIsGivenToTheCallerThatHoldsLeast(t *testing.T) {
	g := NewWithT(t)
	s := New(16 * mib) // three MiB of large bodies
	holders := make([]Holder, 3)
	for i, caller := range []string{"a", "a", "b"} {
		holders[i].Caller = caller
	}
	first := &Holder{Caller: "a"}
	g.Expect(s.Await(start, first, LargeBodies, 2*mib, 0)).To(Equal(Granted))
	last := &Holder{Caller: "c"}
	g.Expect(s.Await(start, last, LargeBodies, mib, 0)).To(Equal(Granted))
	for i := range holders {
		g.Expect(s.Await(start, &holders[i], LargeBodies, mib, 0)).To(Equal(Waiting))
	}
	g.Expect(s.Release(start, last)).To(Equal([]*Holder{&holders[2]}))
	g.Expect(s.Release(start, &holders[0])).To(BeEmpty())
	g.Expect(s.Release(start, first)).To(Equal([]*Holder{&holders[1]}))
	g.Expect(s.Waiting()).To(BeZero())
}

// One request is granted room whatever its size, also beside full parts of other kinds, and
// what cannot even wait is refused at once.
func TestSingleRequestIsGranted(t *testing.T) {
	g := NewWithT(t)
	s := New(16 * mib)
	s.Note(Answers, 8*mib)
	large, small := &Holder{}, &Holder{}
	g.Expect(s.Await(start, large, LargeBodies, 32*mib, mib)).To(Equal(Granted))
	g.Expect(s.Await(start, small, SmallBodies, 32<<10, mib)).To(Equal(Granted))
	g.Expect(s.Await(start, &Holder{}, LargeBodies, mib, mib)).To(Equal(Waiting))
	g.Expect(s.Await(start, &Holder{}, LargeBodies, mib, mib)).To(Equal(Refused))
	g.Expect(New(0).Await(start, &Holder{}, LargeBodies, 1<<40, mib)).To(Equal(Granted))
}

// Of those that cannot wait the one that holds most gives way.
func TestLargestGivesWay(t *testing.T) {
	g := NewWithT(t)
	s := New(16 * mib) // two MiB ahead of callers
	small, large := &Holder{}, &Holder{}
	g.Expect(s.Grow(small, Ahead, 100<<10)).To(BeEmpty())
	g.Expect(s.Grow(large, Ahead, 1800<<10)).To(BeEmpty())
	g.Expect(s.Grow(small, Ahead, 200<<10)).To(Equal([]*Holder{large}))
	g.Expect(s.Grow(small, Ahead, 8*mib)).To(Equal([]*Holder{small}))
	g.Expect(s.Held(Ahead)).To(BeZero())
}
