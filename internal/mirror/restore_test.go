package mirror

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jujubeford/jujubeford/store"
)

// simStore is a store that can be put back to a copy of itself.
type simStore struct {
	at      store.Position
	entries map[string]store.Entry
	history []store.Change
	copies  []simCopy
	written int
	// latest means that watches are answered with the latest change of each key.
	latest bool
}

type simCopy struct {
	revision uint64
	entries  map[string]store.Entry
	history  []store.Change
}

func (s *simStore) change(key string, remove bool) {
	if _, ok := s.entries[key]; remove && !ok {
		return
	}
	s.at.Revision++
	s.written++
	c := store.Change{Entry: store.Entry{Key: key, Index: s.at.Revision}, Deleted: remove}
	delete(s.entries, key)
	if !remove {
		c.Value = fmt.Append(nil, s.written)
		s.entries[key] = c.Entry
	}
	s.history = append(s.history, c)
}

// changeSized writes a value of n bytes.
func (s *simStore) changeSized(key string, n int) {
	s.change(key, false)
	e := s.entries[key]
	e.Value = append(e.Value, make([]byte, n)...)
	s.entries[key] = e
	s.history[len(s.history)-1].Entry = e
}

// together makes the changes of f in one revision.
func (s *simStore) together(f func()) {
	from, first := len(s.history), s.at.Revision+1
	f()
	s.at.Revision = first
	for i := from; i < len(s.history); i++ {
		s.history[i].Index = first
		if e, ok := s.entries[s.history[i].Key]; ok {
			e.Index = first
			s.entries[e.Key] = e
		}
	}
}

func (s *simStore) copy() {
	s.copies = append(s.copies, simCopy{s.at.Revision, maps.Clone(s.entries), slices.Clone(s.history)})
}

func (s *simStore) restore(c simCopy) {
	s.at = store.Position{Era: s.at.Era + 1, Revision: c.revision}
	s.entries, s.history = maps.Clone(c.entries), slices.Clone(c.history)
}

func (s *simStore) list() (list []store.Entry) {
	for _, e := range s.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// changesSince is the answer to a watch; ok is false if the store does not have the changes.
func (s *simStore) changesSince(after store.Position) (changes []store.Change, ok bool) {
	if after.Era != s.at.Era || after.Revision > s.at.Revision {
		return nil, false
	}
	last := make(map[string]int)
	for i, c := range s.history {
		last[c.Key] = i
	}
	for i, c := range s.history {
		if c.Index > after.Revision && (!s.latest || last[c.Key] == i) {
			changes = append(changes, c)
		}
	}
	return changes, true
}

// answer is an answer of the store, or of a peer, that is applied when it arrives.
type answer struct {
	whole   bool
	entries []store.Entry
	changes []store.Change
	at      store.Position
}

func (a answer) applyTo(m *Mirror, now time.Time) {
	if a.whole {
		m.Replace(now, a.entries, a.at)
		return
	}
	m.Apply(now, a.changes, a.at)
}

// follow is what a router that watches the store asks it next.
func (s *simStore) follow(m *Mirror) answer {
	if changes, ok := s.changesSince(m.Position()); ok && m.Position().Revision > 0 {
		return answer{changes: changes, at: s.at}
	}
	return answer{whole: true, entries: s.list(), at: s.at}
}

// copyOf is what a router asks a peer.
func copyOf(from, m *Mirror) answer {
	p := from.Piece(Cursor{At: m.Position()}, 1<<30)
	return answer{whole: p.List, entries: p.Entries, changes: p.Changes, at: p.At}
}

// No mirror may go back, and once all is quiet each must have what the store has.
func TestMirrorsFollowARestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		s := &simStore{at: store.Position{Era: 1, Revision: 1}, entries: make(map[string]store.Entry), latest: rapid.Bool().Draw(t, "only the latest changes")}
		mirrors := make([]*Mirror, 3)
		for i := range mirrors {
			mirrors[i] = New(instancePrefix, testRetention)
		}
		late := make([][]answer, len(mirrors))
		now := epoch
		key := rapid.SampledFrom([]string{"config", instancePrefix + "0", instancePrefix + "1", instancePrefix + "2"})
		router := rapid.IntRange(0, len(mirrors)-1)
		apply := func(i int, a answer) {
			before := mirrors[i].Position()
			a.applyTo(mirrors[i], now)
			g.Expect(mirrors[i].Position().Before(before)).To(BeFalse(), "a mirror went back")
		}
		t.Repeat(map[string]func(*rapid.T){
			"write":  func(t *rapid.T) { s.change(key.Draw(t, "key"), false) },
			"remove": func(t *rapid.T) { s.change(key.Draw(t, "key"), true) },
			"copy":   func(*rapid.T) { s.copy() },
			"restore": func(t *rapid.T) {
				if len(s.copies) == 0 {
					t.Skip("no copy")
				}
				s.restore(rapid.SampledFrom(s.copies).Draw(t, "copy"))
			},
			"follow": func(t *rapid.T) { i := router.Draw(t, "router"); apply(i, s.follow(mirrors[i])) },
			"list":   func(t *rapid.T) { apply(router.Draw(t, "router"), answer{whole: true, entries: s.list(), at: s.at}) },
			"list while it changes": func(t *rapid.T) {
				at, first := s.at, s.list()
				s.change(key.Draw(t, "key"), rapid.Bool().Draw(t, "remove"))
				if s.at.Era == at.Era {
					// The second half is read later than the first.
					split := instancePrefix + "1"
					a := answer{whole: true, at: at}
					for _, e := range first {
						if e.Key < split {
							a.entries = append(a.entries, e)
						}
					}
					for _, e := range s.list() {
						if e.Key >= split {
							a.entries = append(a.entries, e)
						}
					}
					apply(router.Draw(t, "router"), a)
				}
			},
			"follow late": func(t *rapid.T) {
				i := router.Draw(t, "router")
				late[i] = append(late[i], s.follow(mirrors[i]))
			},
			"copy from peer": func(t *rapid.T) {
				from, i := router.Draw(t, "from"), router.Draw(t, "to")
				if mirrors[from].Position() == (store.Position{}) {
					t.Skip("nothing to copy")
				}
				a := copyOf(mirrors[from], mirrors[i])
				if rapid.Bool().Draw(t, "late") {
					late[i] = append(late[i], a)
					return
				}
				apply(i, a)
			},
			"arrive": func(t *rapid.T) {
				i := router.Draw(t, "router")
				if len(late[i]) == 0 {
					t.Skip("nothing is late")
				}
				n := rapid.IntRange(0, len(late[i])-1).Draw(t, "answer")
				apply(i, late[i][n])
				late[i] = slices.Delete(late[i], n, n+1)
			},
			"restart": func(t *rapid.T) {
				i := router.Draw(t, "router")
				mirrors[i], late[i] = New(instancePrefix, testRetention), nil
			},
			"time": func(*rapid.T) {
				now = now.Add(500 * time.Millisecond)
				for _, m := range mirrors {
					m.RemoveExpired(now)
				}
			},
		})
		// One router reaches the store, the others its copy.
		apply(0, s.follow(mirrors[0]))
		for i := 1; i < len(mirrors); i++ {
			apply(i, copyOf(mirrors[0], mirrors[i]))
		}
		for i, m := range mirrors {
			m.RemoveExpired(now.Add(time.Minute))
			g.Expect(m.Position()).To(Equal(s.at))
			g.Expect(m.EntriesInStore()).To(BeComparableTo(s.list()), "router %d", i)
			g.Expect(m.Entries("")).To(HaveLen(len(s.entries)))
		}
	})
}

func TestEntriesLostInARestoreAreRetained(t *testing.T) {
	g, m := NewWithT(t), newFilledMirror(10)
	g.Expect(m.Replace(epoch, m.EntriesInStore()[:8], store.Position{Era: 2, Revision: 5})).To(BeTrue())
	g.Expect(m.RetainedCount()).To(Equal(3))
	g.Expect(m.RemoveExpired(epoch.Add(outageGrace - 1))).To(BeEmpty())
	m.Apply(epoch.Add(time.Second), []store.Change{{Entry: store.Entry{Key: instancePrefix + "9", Index: 6}}}, store.Position{Era: 2, Revision: 6})
	g.Expect(m.RemoveExpired(epoch.Add(outageGrace))).To(HaveLen(2))
	g.Expect(m.Entries(instancePrefix)).To(HaveLen(8))
}

func TestChangesOfAnotherEraAreSkipped(t *testing.T) {
	g, m := NewWithT(t), newFilledMirror(2)
	lost := []store.Change{{Entry: store.Entry{Key: "config", Value: []byte("lost"), Index: 11}}}
	m.Replace(epoch, m.EntriesInStore(), store.Position{Era: 2, Revision: 5})
	before := m.EntriesInStore()
	g.Expect(m.Apply(epoch, lost, at(11))).To(BeFalse())
	g.Expect(m.EntriesInStore()).To(Equal(before))
	g.Expect(m.Position()).To(Equal(store.Position{Era: 2, Revision: 5}))
}
