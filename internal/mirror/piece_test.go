package mirror

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jujubeford/jujubeford/store"
)

// Copies are taken in pieces of any size while the store changes, is restored, and routers
// are away for any time. No copy goes back, no piece is larger than its bound unless it has
// only one value, no value is passed on that has been overwritten, and a copy that is taken in
// calm has what the store has.
func TestCopiesInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		s := &simStore{at: store.Position{Era: 1, Revision: 1}, entries: make(map[string]store.Entry)}
		s.latest = rapid.Bool().Draw(t, "only the latest changes")
		peer, m := New(instancePrefix, testRetention), New(instancePrefix, testRetention)
		reader := NewReader(m.Position())
		key := rapid.Custom(func(t *rapid.T) string {
			if n := rapid.IntRange(0, 8).Draw(t, "n"); n > 1 {
				return fmt.Sprint(instancePrefix, n)
			}
			return "config"
		})
		maxBytes := rapid.IntRange(1, 4000).Draw(t, "piece")
		takePiece := func() (last bool) {
			before := m.Position()
			p := peer.Piece(reader.Cursor(), maxBytes)
			size, n := 0, len(p.Entries)+len(p.Changes)
			for _, e := range p.Entries {
				size += len(e.Value)
			}
			for _, c := range p.Changes {
				size += len(c.Value)
				if !c.Deleted {
					e, _ := peer.Get(c.Key)
					g.Expect(c.Index).To(Equal(e.Index), "a value that has been overwritten")
				}
			}
			g.Expect(size <= maxBytes || n == 1).To(BeTrue(), "%d bytes in %d entries", size, n)
			apply, complete, err := reader.Take(p)
			if err != nil {
				// As after a failed call: the next copy begins at the own position.
				reader = NewReader(m.Position())
				return false
			}
			if complete && apply.List {
				m.Replace(epoch, apply.Entries, apply.At)
			} else if complete {
				m.Apply(epoch, apply.Changes, apply.At)
			}
			g.Expect(m.Position().Before(before)).To(BeFalse(), "a mirror went back")
			if !p.More {
				reader = NewReader(m.Position())
			}
			return !p.More
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) { s.changeSized(key.Draw(t, "key"), rapid.IntRange(0, 3000).Draw(t, "bytes")) },
			"change together": func(t *rapid.T) {
				s.together(func() {
					for range rapid.IntRange(1, 5).Draw(t, "keys") {
						s.changeSized(key.Draw(t, "key"), rapid.IntRange(0, 3000).Draw(t, "bytes"))
					}
				})
			},
			"remove": func(t *rapid.T) { s.change(key.Draw(t, "key"), true) },
			"copy":   func(*rapid.T) { s.copy() },
			"restore": func(t *rapid.T) {
				if len(s.copies) == 0 {
					t.Skip("no copy")
				}
				s.restore(rapid.SampledFrom(s.copies).Draw(t, "copy"))
			},
			"peer follows": func(*rapid.T) { s.follow(peer).applyTo(peer, epoch) },
			"peer was away for long": func(*rapid.T) {
				answer{whole: true, entries: s.list(), at: s.at}.applyTo(peer, epoch)
			},
			"follow":   func(*rapid.T) { s.follow(m).applyTo(m, epoch); reader = NewReader(m.Position()) },
			"piece":    func(*rapid.T) { takePiece() },
			"restart":  func(*rapid.T) { m, reader = New(instancePrefix, testRetention), NewReader(store.Position{}) },
			"give up":  func(*rapid.T) { reader = NewReader(m.Position()) },
			"log ends": func(*rapid.T) { peer.removed.dropOldest(0) },
		})
		s.follow(peer).applyTo(peer, epoch)
		reader = NewReader(m.Position())
		for n := 0; !takePiece(); n++ {
			g.Expect(n).To(BeNumerically("<", 100), "a copy makes progress")
		}
		m.RemoveExpired(epoch.Add(time.Minute))
		g.Expect(m.Position()).To(Equal(s.at))
		g.Expect(m.EntriesInStore()).To(BeComparableTo(s.list()))
	})
}

func TestEmptyPieceMakesNoProgress(t *testing.T) {
	g := NewWithT(t)
	for _, p := range []Piece{{More: true}, {More: true, List: true}} {
		_, _, err := NewReader(at(3)).Take(p)
		g.Expect(err).To(HaveOccurred())
	}
}

// A key is removed while the later pieces of a list are read: the copy lacks the removal, which
// its last change tells, so that it is taken next.
func TestListReadDuringChangesIsNotUpToDate(t *testing.T) {
	g, peer, m := NewWithT(t), New(instancePrefix, testRetention), New(instancePrefix, testRetention)
	a, b := store.Entry{Key: "a", Index: 2}, store.Entry{Key: "b", Index: 3}
	peer.Replace(epoch, []store.Entry{a, b}, at(3))
	reader := NewReader(m.Position())
	_, complete, err := reader.Take(peer.Piece(reader.Cursor(), 1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(complete).To(BeFalse())
	b.Index = 5
	peer.Apply(epoch, []store.Change{{Entry: store.Entry{Key: "a", Index: 4}, Deleted: true}, {Entry: b}}, at(5))
	p, complete, err := reader.Take(peer.Piece(reader.Cursor(), 1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(complete).To(BeTrue())
	m.Replace(epoch, p.Entries, p.At)
	m.AdoptLastChange(peer.LastChange())
	g.Expect(m.EntriesInStore()).To(HaveLen(2))
	g.Expect(m.LastChange().Before(peer.LastChange())).To(BeTrue(), "a copy is due")
}

// A copy ends between two changes of one revision, the last: the rest is taken next.
func TestHalfARevisionIsNotUpToDate(t *testing.T) {
	g, peer, m := NewWithT(t), New(instancePrefix, testRetention), New(instancePrefix, testRetention)
	b := store.Entry{Key: "b", Index: 1}
	peer.Replace(epoch, []store.Entry{b}, at(1))
	m.Replace(epoch, []store.Entry{b}, at(1))
	peer.Apply(epoch, []store.Change{{Entry: store.Entry{Key: "a", Index: 2}}, {Entry: store.Entry{Key: "b", Index: 2}, Deleted: true}}, at(2))
	p := peer.Piece(Cursor{At: m.Position()}, 1)
	g.Expect(p.More).To(BeTrue())
	m.Apply(epoch, p.Changes, p.At)
	g.Expect(m.LastChange().Before(peer.LastChange())).To(BeTrue(), "a copy is due")
}
