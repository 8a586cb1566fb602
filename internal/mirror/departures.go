package mirror

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/jujubeford/jujubeford/store"
)

const (
	// departureRetention is how long it is remembered that an entry was removed. A store comes
	// back from a copy that is some seconds old, and instances that have left may serve for
	// many seconds more.
	departureRetention = 2 * time.Minute
	// departureHold is how long an entry that only an older copy brought back counts as
	// departed. The store removes it before, after three status intervals of silence (about
	// 4 s); an instance whose entry is there for longer still reports, and thus serves.
	departureHold = 10 * time.Second
	// maxSeenVersions bounds the versions of an entry that are told from new ones. An entry is
	// written at most once in a status interval, so these go back further than a copy.
	maxSeenVersions = 8
)

// entryVersion identifies a version of an entry. A restored store has the versions of its copy
// under the revisions that they had.
type entryVersion struct {
	revision, value uint64
}

// departure is the removal of an entry that is remembered across restores.
type departure struct {
	removedAt time.Time
	// restoredAt is when the entry came back with an older copy, and revision the one under
	// which it did. They are zero while the store does not have it.
	restoredAt time.Time
	revision   uint64
}

// departures remembers which ephemeral entries were removed. A store that is restored from an
// older copy has such entries again, until it removes them again or their instances write
// them anew.
type departures struct {
	// seen holds the latest versions of each entry in the store, or that departed.
	seen map[string][]entryVersion
	gone map[string]departure
}

func newDepartures() departures {
	return departures{seen: make(map[string][]entryVersion), gone: make(map[string]departure)}
}

// versionOf returns the version of an entry.
func versionOf(e store.Entry) entryVersion {
	h := fnv.New64a()
	h.Write(e.Value)
	return entryVersion{e.Index, h.Sum64()}
}

// recordVersion remembers a version of an entry as the latest one.
func (d *departures) recordVersion(e store.Entry) {
	seen, v := d.seen[e.Key], versionOf(e)
	if i := slices.Index(seen, v); i >= 0 {
		seen = slices.Delete(seen, i, i+1)
	} else if len(seen) == maxSeenVersions {
		seen = slices.Delete(seen, 0, 1)
	}
	d.seen[e.Key] = append(seen, v)
}

// recordListed records an entry of a list. In the first list of a later era a version that was
// seen before comes from the copy; any other has been written since.
func (d *departures) recordListed(now time.Time, e store.Entry, isNewEra bool) {
	if g, ok := d.gone[e.Key]; ok {
		switch {
		case isNewEra && slices.Contains(d.seen[e.Key], versionOf(e)):
			g.restoredAt, g.revision = now, e.Index
			d.gone[e.Key] = g
		case !isNewEra && !g.restoredAt.IsZero() && g.revision == e.Index:
		default:
			delete(d.gone, e.Key)
		}
	}
	d.recordVersion(e)
}

// recordWritten records an entry that was written after the list of its era.
func (d *departures) recordWritten(e store.Entry) {
	delete(d.gone, e.Key)
	d.recordVersion(e)
}

// recordRemoved records that an entry was removed.
func (d *departures) recordRemoved(now time.Time, key string) {
	d.gone[key] = departure{removedAt: now}
}

// expire forgets what need not be remembered any more. It reports whether an entry no longer
// counts as departed.
func (d *departures) expire(now time.Time) (changed bool) {
	for key, g := range d.gone {
		switch {
		case !g.restoredAt.IsZero():
			if now.Sub(g.restoredAt) >= departureHold {
				delete(d.gone, key)
				changed = true
			}
		case now.Sub(g.removedAt) >= departureRetention:
			delete(d.gone, key)
			delete(d.seen, key)
		}
	}
	return changed
}

// Departed reports whether an entry is one that had been removed and that the store has again
// only since it was restored from an older copy: its instance has left.
func (m *Mirror) Departed(key string) bool {
	g, ok := m.departures.gone[key]
	return ok && !g.restoredAt.IsZero()
}

// ExpireDepartures forgets old departures, and reports whether Departed changes.
func (m *Mirror) ExpireDepartures(now time.Time) (changed bool) { return m.departures.expire(now) }

// rememberRemovals remembers the removals that are known as the store is restored, except for
// those that may be lapses.
func (m *Mirror) rememberRemovals(now time.Time) {
	if m.isMassRemoval() {
		return
	}
	for key, r := range m.removals {
		if !r.InOutage {
			m.departures.recordRemoved(now, key)
		}
	}
}

// isEphemeral reports whether a key is bound to a lease.
func (m *Mirror) isEphemeral(key string) bool { return strings.HasPrefix(key, m.ephemeralPrefix) }
