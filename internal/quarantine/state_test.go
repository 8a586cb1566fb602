package quarantine

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/wire"
)

var (
	epoch           = time.Unix(1_000_000, 0)
	testFingerprint = Fingerprint{1}
)

const org = "buskers"

func at(minutes float64) time.Time {
	return epoch.Add(time.Duration(minutes * float64(time.Minute)))
}

func TestBlocked(t *testing.T) {
	crashAt := func(minutes float64, upstream string) *wire.CrashNotice {
		return crashNotice(org, testFingerprint, crash{upstream, at(minutes)})
	}
	releaseAt := func(minutes float64) *wire.CrashNotice { return releaseNotice(org, testFingerprint, at(minutes)) }
	for _, row := range []struct {
		name    string
		notices []*wire.CrashNotice
		// queryAt is when Blocked is called, in minutes.
		queryAt float64
		blocked bool
		until   float64
	}{
		{"no crash", nil, 1, false, 0},
		{"one crash", []*wire.CrashNotice{crashAt(0, "u1")}, 1, false, 0},
		{"two upstreams", []*wire.CrashNotice{crashAt(0, "u1"), crashAt(1, "u2")}, 2, true, 30},
		{"one upstream twice", []*wire.CrashNotice{crashAt(0, "u1"), crashAt(1, "u1")}, 2, true, 30},
		{"two upstreams at one time", []*wire.CrashNotice{crashAt(0, "u1"), crashAt(0, "u2")}, 2, true, 30},
		{"repeated notice", []*wire.CrashNotice{crashAt(0, "u1"), crashAt(0, "u1")}, 2, false, 0},
		{"reordered", []*wire.CrashNotice{crashAt(1, "u2"), crashAt(0, "u1")}, 2, true, 30},
		{"three, until two of them are left", []*wire.CrashNotice{crashAt(0, "u1"), crashAt(5, "u2"), crashAt(9, "u3")}, 32, true, 35},
		{"expired", []*wire.CrashNotice{crashAt(0, "u1"), crashAt(1, "u2")}, 30, false, 0},
		{"released", []*wire.CrashNotice{crashAt(0, "u1"), crashAt(1, "u2"), releaseAt(2)}, 3, false, 0},
		{"release before its crashes", []*wire.CrashNotice{releaseAt(2), crashAt(1, "u2"), crashAt(0, "u1")}, 3, false, 0},
		{"one crash since the release", []*wire.CrashNotice{crashAt(0, "u1"), releaseAt(2), crashAt(3, "u2")}, 4, false, 0},
		{"two crashes since the release", []*wire.CrashNotice{crashAt(3, "u1"), releaseAt(2), crashAt(4, "u2")}, 5, true, 33},
		{"older release late", []*wire.CrashNotice{releaseAt(2), releaseAt(1), crashAt(1.5, "u1"), crashAt(1.7, "u2")}, 3, false, 0},
		{"from the future", []*wire.CrashNotice{crashAt(900, "u1"), crashAt(901, "u2")}, 1, false, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			g := NewWithT(t)
			s := New()
			for _, n := range row.notices {
				now := at(min(row.queryAt, 10))
				s.Step(now, core.PeerMessage{Message: &wire.Envelope{Body: &wire.Envelope_CrashNotice{CrashNotice: n}}})
			}
			until, blocked := s.Blocked(at(row.queryAt), org, testFingerprint)
			g.Expect(blocked).To(Equal(row.blocked))
			if blocked {
				g.Expect(until).To(BeTemporally("==", at(row.until)))
			}
			_, other := s.Blocked(at(row.queryAt), "planos", testFingerprint)
			g.Expect(other).To(BeFalse(), "another organisation's request")
		})
	}
}

// deliver delivers the messages of effects to a state and returns the routers
// that they are addressed to.
func deliver(s *State, now time.Time, effects []core.Effect) []core.RouterID {
	var to []core.RouterID
	for _, effect := range effects {
		send := effect.(core.SendPeer)
		to = append(to, send.To)
		s.Step(now, core.PeerMessage{From: "a.1", Message: send.Message})
	}
	return to
}

func TestPeersAreNotified(t *testing.T) {
	g := NewWithT(t)
	a, b, c := New(), New(), New()
	a.SetPeers([]core.RouterID{"b.1"})
	g.Expect(deliver(b, at(0), a.RecordCrash(at(0), org, testFingerprint, "u1"))).To(Equal([]core.RouterID{"b.1"}))
	deliver(b, at(1), a.RecordCrash(at(1), org, testFingerprint, "u2"))
	_, blocked := b.Blocked(at(1), org, testFingerprint)
	g.Expect(blocked).To(BeTrue())

	joined := a.Step(at(2), core.PeerUp{Member: &wire.Member{Id: "c.1"}})
	g.Expect(deliver(c, at(2), joined)).To(Equal([]core.RouterID{"c.1", "c.1"}))
	_, blocked = c.Blocked(at(2), org, testFingerprint)
	g.Expect(blocked).To(BeTrue())

	deliver(b, at(3), a.Step(at(3), core.LiftQuarantine{Organisation: org, Fingerprint: testFingerprint}))
	for _, s := range []*State{a, b} {
		_, blocked = s.Blocked(at(3), org, testFingerprint)
		g.Expect(blocked).To(BeFalse())
	}
	// c did not get the release; its older crash notices must not undo it.
	deliver(a, at(4), c.Step(at(4), core.PeerUp{Member: &wire.Member{Id: "a.1"}}))
	_, blocked = a.Blocked(at(4), org, testFingerprint)
	g.Expect(blocked).To(BeFalse())
}

// A request that was in flight at crashes by chance is not refused: it succeeds between
// them, at this router or another one.
func TestSuccessClearsCrashes(t *testing.T) {
	g := NewWithT(t)
	a, b := New(), New()
	a.SetPeers([]core.RouterID{"b.1"})
	g.Expect(a.RecordSuccess(at(0), org, testFingerprint)).To(BeEmpty())
	deliver(b, at(0), a.RecordCrash(at(0), org, testFingerprint, "u1"))
	deliver(b, at(1), a.RecordSuccess(at(1), org, testFingerprint))
	deliver(b, at(2), a.RecordCrash(at(2), org, testFingerprint, "u2"))
	for _, s := range []*State{a, b} {
		_, blocked := s.Blocked(at(3), org, testFingerprint)
		g.Expect(blocked).To(BeFalse())
	}
	deliver(b, at(4), a.RecordCrash(at(4), org, testFingerprint, "u3"))
	_, blocked := b.Blocked(at(4), org, testFingerprint)
	g.Expect(blocked).To(BeTrue())
}

func TestBounds(t *testing.T) {
	g := NewWithT(t)
	s := New()
	s.RecordCrash(at(0), "quiet", testFingerprint, "u1")
	s.RecordCrash(at(0), "quiet", testFingerprint, "u2")
	for i := range 10 * maxPerOrganisation {
		var flood Fingerprint
		binary.BigEndian.PutUint64(flood[:], uint64(i))
		s.RecordCrash(at(0).Add(time.Duration(i)*time.Millisecond), "flood", flood, "u1")
	}
	_, blocked := s.Blocked(at(1), "quiet", testFingerprint)
	g.Expect(blocked).To(BeTrue())
	g.Expect(s.organisations["flood"]).To(HaveLen(maxPerOrganisation))
	for i := range 2 * maxOrganisations {
		s.RecordCrash(at(1), fmt.Sprint("org-", i), testFingerprint, "u1")
	}
	g.Expect(s.organisations).To(HaveLen(maxOrganisations))
	for i := range 100 {
		s.RecordCrash(at(1).Add(time.Duration(i)*time.Second), "quiet", testFingerprint, "u1")
	}
	g.Expect(s.organisations["quiet"][testFingerprint].crashes).To(HaveLen(maxCrashes))
	s.Step(at(1).Add(CrashTTL+2*time.Minute), core.Tick{})
	g.Expect(s.organisations).To(BeEmpty())
}

func TestBadNoticesAreIgnored(t *testing.T) {
	s := New()
	long := string(make([]byte, maxNameBytes+1))
	for _, n := range []*wire.CrashNotice{
		nil, {}, {Organisation: org, Fingerprint: []byte{1}},
		{Organisation: long, Fingerprint: testFingerprint[:], ObservedUnixMs: uint64(epoch.UnixMilli())},
		{Organisation: org, Fingerprint: testFingerprint[:], Upstream: long, ObservedUnixMs: uint64(epoch.UnixMilli())},
	} {
		s.Step(epoch, core.PeerMessage{Message: &wire.Envelope{Body: &wire.Envelope_CrashNotice{CrashNotice: n}}})
	}
	NewWithT(t).Expect(s.organisations).To(BeEmpty())
}
