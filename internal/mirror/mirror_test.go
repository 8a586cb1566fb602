package mirror

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jujubeford/jujubeford/store"
)

var epoch = time.Unix(1000, 0)

// at returns a position in the first era of the tests.
func at(revision uint64) store.Position { return store.Position{Era: 1, Revision: revision} }

// instancePrefix is the prefix of the keys that are bound to leases.
const instancePrefix = "instances/"

// testRetention is the longest time for which the mirrors of the tests retain what was removed.
const testRetention = 1700 * time.Millisecond

// newFilledMirror returns a mirror with n instances and one other key, at revision
// 10.
func newFilledMirror(n int) *Mirror {
	m := New(instancePrefix, testRetention)
	list := []store.Entry{{Key: "config", Index: 1}}
	for i := range n {
		list = append(list, store.Entry{Key: fmt.Sprint(instancePrefix, i), Index: 2})
	}
	m.Replace(epoch, list, at(10))
	return m
}

// removals returns the removals of instances at a revision.
func removals(revision uint64, ids ...int) (out []store.Change) {
	for _, id := range ids {
		out = append(out, store.Change{Entry: store.Entry{Key: fmt.Sprint(instancePrefix, id), Index: revision}, Deleted: true})
	}
	return out
}

func TestSingleRemovalIsDelayed(t *testing.T) {
	g, m := NewWithT(t), newFilledMirror(10)
	g.Expect(m.Apply(epoch, removals(11, 3), at(11))).To(BeFalse())
	g.Expect(m.RemoveExpired(epoch.Add(removalGrace - 1))).To(BeEmpty())
	g.Expect(m.RemoveExpired(epoch.Add(removalGrace))).To(ConsistOf(Removal{Key: instancePrefix + "3", Revision: 11, At: epoch, Since: epoch}))
	g.Expect(m.Entries(instancePrefix)).To(HaveLen(9))
}

// TestMassRemovalIsDelayed checks that entries whose leases expired together during an
// outage of the store are retained until the instances had time to register again.
func TestMassRemovalIsDelayed(t *testing.T) {
	g, m := NewWithT(t), newFilledMirror(10)
	for i := range 10 {
		m.Apply(epoch.Add(time.Duration(i)*100*time.Millisecond), removals(uint64(11+i), i), at(uint64(11+i)))
		m.RemoveExpired(epoch.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	m.RemoveExpired(epoch.Add(1500 * time.Millisecond))
	g.Expect(m.Entries(instancePrefix)).To(HaveLen(10))
	m.Apply(epoch.Add(1600*time.Millisecond), []store.Change{{Entry: store.Entry{Key: instancePrefix + "4", Index: 21}}}, at(21))
	m.RemoveExpired(epoch.Add(4 * time.Second))
	g.Expect(m.Entries(instancePrefix)).To(HaveLen(1))
}

func TestOutageDelaysRemoval(t *testing.T) {
	g, m := NewWithT(t), newFilledMirror(10)
	g.Expect(m.MarkStoreUnavailable()).To(BeTrue())
	g.Expect(m.MarkStoreUnavailable()).To(BeFalse())
	g.Expect(m.MarkStoreAvailable(epoch)).To(BeTrue())
	m.Apply(epoch, removals(11, 0), at(11))
	g.Expect(m.RemoveExpired(epoch.Add(outageGrace - 1))).To(BeEmpty())
	g.Expect(m.RemoveExpired(epoch.Add(outageGrace))).To(HaveLen(1))
}

func TestRemovalAfterAnOutageIsNotRetainedAsLapsed(t *testing.T) {
	g, m := NewWithT(t), newFilledMirror(10)
	m.MarkStoreUnavailable()
	m.MarkStoreAvailable(epoch)
	m.Apply(epoch, nil, at(10))
	m.Apply(epoch.Add(time.Second), removals(11, 0), at(11))
	g.Expect(m.RemoveExpired(epoch.Add(time.Second + massRemovalGrace - 1))).To(BeEmpty())
	g.Expect(m.RemoveExpired(epoch.Add(time.Second + massRemovalGrace))).To(HaveLen(1))
}

// A removal that a list shows may be old.
func TestRemovalInTheGapOfAWatchIsNotRetained(t *testing.T) {
	g, m := NewWithT(t), newFilledMirror(10)
	m.Replace(epoch, append(m.EntriesInStore()[:5:5], m.EntriesInStore()[6:]...), at(11))
	g.Expect(m.RemoveExpired(epoch)).To(HaveLen(1))
	// Entries that are missing together may have lapsed.
	m.Replace(epoch, m.EntriesInStore()[:5:5], at(12))
	g.Expect(m.RemoveExpired(epoch.Add(massRemovalGrace - 1))).To(BeEmpty())
	g.Expect(m.RemoveExpired(epoch.Add(massRemovalGrace))).NotTo(BeEmpty())
}

// delivery is what the way of a removal to a router may take.
func TestUpstreamsLeaveBeforeTheyStopServing(t *testing.T) {
	const serves, delivery = 2 * time.Second, 350 * time.Millisecond
	NewWithT(t).Expect(max(removalGrace, massRemovalGrace) + delivery).To(BeNumerically("<", serves))
}

func TestOlderRevisionIsIgnored(t *testing.T) {
	g, m := NewWithT(t), newFilledMirror(2)
	g.Expect(m.Replace(epoch, nil, at(9))).To(BeFalse())
	g.Expect(m.Apply(epoch, []store.Change{{Entry: store.Entry{Key: "config", Index: 0}}}, at(9))).To(BeFalse())
	g.Expect(m.Position()).To(Equal(at(10)))
	g.Expect(m.Apply(epoch, []store.Change{{Entry: store.Entry{Key: "config", Index: 11}, Deleted: true}}, at(11))).To(BeTrue())
	_, ok := m.Get("config")
	g.Expect(ok).To(BeFalse())
}

// A watch may be answered before a copy from a peer and applied after it.
func TestLateAnswerChangesNothing(t *testing.T) {
	g, m := NewWithT(t), newFilledMirror(3)
	written := store.Change{Entry: store.Entry{Key: instancePrefix + "0", Index: 11}}
	removed := store.Change{Entry: store.Entry{Key: instancePrefix + "0", Index: 12}, Deleted: true}
	m.Apply(epoch, []store.Change{written, removed}, at(12))
	m.Apply(epoch, []store.Change{written}, at(11))
	g.Expect(m.RemoveExpired(epoch.Add(removalGrace))).To(HaveLen(1))
	m.Apply(epoch, []store.Change{{Entry: store.Entry{Key: instancePrefix + "0", Index: 13}}}, at(13))
	g.Expect(m.Apply(epoch, []store.Change{removed}, at(12))).To(BeFalse())
	g.Expect(m.RemoveExpired(epoch.Add(time.Minute))).To(BeEmpty())
	g.Expect(m.EntriesInStore()).To(HaveLen(4))
}

// TestCopyFollowsTheChanges checks that a copy which applies the changes since its position
// equals the mirror, whether it asks often or has been away.
func TestCopyFollowsTheChanges(t *testing.T) {
	g, m, follower, away := NewWithT(t), newFilledMirror(5), newFilledMirror(5), newFilledMirror(5)
	revision := uint64(10)
	catchUp := func(f *Mirror) {
		changes, ok := m.ChangesSince(f.Position())
		g.Expect(ok).To(BeTrue())
		f.Apply(epoch, changes, m.Position())
		g.Expect(f.EntriesInStore()).To(Equal(m.EntriesInStore()))
		g.Expect(f.LastChange()).To(Equal(m.LastChange()))
	}
	for i := range 1500 {
		revision++
		key := fmt.Sprint(instancePrefix, i%7)
		m.Apply(epoch, []store.Change{{Entry: store.Entry{Key: key, Index: revision}, Deleted: i%5 == 4}}, at(revision))
		if i%10 == 9 {
			catchUp(follower)
		}
	}
	changes, _ := m.ChangesSince(away.Position())
	g.Expect(len(changes)).To(BeNumerically("<=", 7), "one change of each key")
	catchUp(away)
	_, ok := m.ChangesSince(store.Position{})
	g.Expect(ok).To(BeFalse())
}

// The log has all removals after the position from which on it answers, and no more bytes
// than its bound, however many there are.
func TestRemovalLogIsBounded(t *testing.T) {
	g, m := NewWithT(t), newFilledMirror(0)
	const keys = 4000
	for i := range keys {
		revision := uint64(11 + i)
		m.Apply(epoch, []store.Change{{Entry: store.Entry{Key: fmt.Sprint("other/", i), Index: revision}}}, at(revision))
	}
	for i := range keys {
		m.Apply(epoch, []store.Change{{Entry: store.Entry{Key: fmt.Sprint("other/", i), Index: uint64(5000 + i)}, Deleted: true}}, at(uint64(5000+i)))
		g.Expect(m.removed.bytes).To(BeNumerically("<=", maxRemovalLogBytes))
	}
	_, ok := m.ChangesSince(at(4999))
	g.Expect(ok).To(BeFalse(), "older than the log")
	since := m.removed.start
	changes, ok := m.ChangesSince(at(since))
	g.Expect(ok).To(BeTrue())
	g.Expect(changes).To(HaveLen(int(m.Position().Revision - since)))
	g.Expect(len(changes)).To(BeNumerically(">", 500))
}

// Values that were overwritten are neither kept nor passed on.
func TestSupersededValuesAreNotKept(t *testing.T) {
	g, m, away := NewWithT(t), newFilledMirror(3), newFilledMirror(3)
	for i := range 600 {
		revision := uint64(11 + i)
		m.Apply(epoch, []store.Change{{Entry: store.Entry{Key: "config", Value: make([]byte, 1000), Index: revision}}}, at(revision))
	}
	p := m.Piece(Cursor{At: away.Position()}, 1<<20)
	g.Expect(p.More).To(BeFalse())
	g.Expect(p.Changes).To(HaveLen(1))
	away.Apply(epoch, p.Changes, p.At)
	g.Expect(away.EntriesInStore()).To(Equal(m.EntriesInStore()))
}

// A removal that may have happened long before it was heard of must not be retained as if it
// had happened then: its instance would get requests after it has stopped.
func TestRetentionCountsFromWhenTheMirrorWasCurrent(t *testing.T) {
	for name, x := range map[string]struct {
		removed int
		age     time.Duration // of the mirror when it hears of the removals
		want    time.Duration // how long they are retained
	}{
		"one, heard at once":         {1, 0, removalGrace},
		"one, heard late":            {1, 1500 * time.Millisecond, testRetention - 1500*time.Millisecond},
		"one, heard too late":        {1, time.Minute, 0},
		"together, heard at once":    {3, 0, massRemovalGrace},
		"together, heard a bit late": {3, 500 * time.Millisecond, testRetention - 500*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g, m := NewWithT(t), newFilledMirror(4)
			m.MarkCurrent(epoch)
			heard := epoch.Add(x.age)
			var changes []store.Change
			for i := range x.removed {
				changes = append(changes, store.Change{Entry: store.Entry{Key: fmt.Sprint(instancePrefix, i), Index: uint64(11 + i)}, Deleted: true})
			}
			m.Apply(heard, changes, at(20))
			if x.want > 0 {
				g.Expect(m.RemoveExpired(heard.Add(x.want - 1))).To(BeEmpty())
			}
			g.Expect(m.RemoveExpired(heard.Add(x.want))).To(HaveLen(x.removed))
		})
	}
}
