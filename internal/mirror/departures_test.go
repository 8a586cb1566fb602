package mirror

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jujubeford/jujubeford/store"
)

// Whatever was removed stays so across restores, until it is written anew or the store has kept
// it for as long as only an instance that reports is kept; whatever was written anew counts at
// once. A copy is not older than the versions that are remembered. One mirror follows the store, the other one copies from it.
func TestRemovalsOutliveRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		s := &simStore{at: store.Position{Era: 1, Revision: 1}, entries: make(map[string]store.Entry)}
		mirrors := []*Mirror{New(instancePrefix, testRetention), New(instancePrefix, testRetention)}
		now := epoch
		keys := []string{instancePrefix + "0", instancePrefix + "1", instancePrefix + "2"}
		key := rapid.SampledFrom(keys)
		var written []int
		gone, restored := make(map[string]bool), make(map[string]time.Time)
		pass := func(d time.Duration) {
			now = now.Add(d)
			for _, m := range mirrors {
				m.RemoveExpired(now)
				m.ExpireDepartures(now)
			}
		}
		follow := func() {
			s.follow(mirrors[0]).applyTo(mirrors[0], now)
			copyOf(mirrors[0], mirrors[1]).applyTo(mirrors[1], now)
		}
		for _, k := range keys {
			s.change(k, false)
		}
		follow()
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				k := key.Draw(t, "key")
				s.change(k, false)
				delete(gone, k)
				delete(restored, k)
				follow()
			},
			"remove": func(t *rapid.T) {
				k := key.Draw(t, "key")
				if _, ok := s.entries[k]; !ok {
					t.Skip("not there")
				}
				s.change(k, true)
				gone[k] = true
				delete(restored, k)
				follow()
				pass(outageGrace)
			},
			"copy": func(*rapid.T) {
				s.copy()
				written = append(written, s.written)
			},
			"restore": func(t *rapid.T) {
				first := slices.IndexFunc(written, func(n int) bool { return s.written-n < maxSeenVersions })
				if first < 0 {
					t.Skip("no copy that is young enough")
				}
				s.restore(s.copies[rapid.IntRange(first, len(s.copies)-1).Draw(t, "copy")])
				for _, k := range keys {
					if _, ok := s.entries[k]; !ok {
						gone[k] = true
						delete(restored, k)
					} else if gone[k] {
						restored[k] = now
					}
				}
				// An instance that is there may have written again before the list.
				if k := key.Draw(t, "key"); rapid.Bool().Draw(t, "written") {
					s.change(k, false)
					delete(gone, k)
					delete(restored, k)
				}
				follow()
				pass(outageGrace)
			},
			"time": func(t *rapid.T) { pass(time.Duration(rapid.IntRange(1, 6).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				for _, k := range keys {
					if at, ok := restored[k]; ok && now.Sub(at) >= departureHold {
						delete(gone, k)
						delete(restored, k)
					}
					_, departed := restored[k]
					for i, m := range mirrors {
						g.Expect(m.Departed(k)).To(Equal(departed), "%s at mirror %d", k, i)
					}
				}
			},
		})
	})
}

// A removal that is known but still retained as the store is restored counts; one that may be
// a lapse of an outage does not.
func TestRetainedRemovalOutlivesARestore(t *testing.T) {
	for name, inOutage := range map[string]bool{"removal": false, "may be a lapse": true} {
		t.Run(name, func(t *testing.T) {
			g, m := NewWithT(t), newFilledMirror(10)
			copied := m.EntriesInStore()
			if inOutage {
				m.MarkStoreUnavailable()
				m.MarkStoreAvailable(epoch)
			}
			m.Apply(epoch, removals(11, 3), at(11))
			m.Replace(epoch, copied, store.Position{Era: 2, Revision: 10})
			g.Expect(m.Departed(instancePrefix + "3")).To(Equal(!inOutage))
			m.Apply(epoch, []store.Change{{Entry: store.Entry{Key: instancePrefix + "3", Index: 11}}}, store.Position{Era: 2, Revision: 11})
			g.Expect(m.Departed(instancePrefix + "3")).To(BeFalse())
		})
	}
}

func TestDeparturesAreForgotten(t *testing.T) {
	g, m := NewWithT(t), newFilledMirror(10)
	m.Apply(epoch, removals(11, 3), at(11))
	m.RemoveExpired(epoch.Add(removalGrace))
	for range 2 * maxSeenVersions {
		m.Apply(epoch, []store.Change{{Entry: store.Entry{Key: instancePrefix + "4", Index: m.Position().Revision + 1}}}, at(m.Position().Revision+1))
	}
	g.Expect(m.departures.seen[instancePrefix+"4"]).To(HaveLen(maxSeenVersions))
	g.Expect(m.ExpireDepartures(epoch.Add(time.Hour))).To(BeFalse())
	g.Expect(m.departures.gone).To(BeEmpty())
	g.Expect(m.departures.seen).To(HaveLen(9))
}
