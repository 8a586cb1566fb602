// Package mirror keeps a router's copy of the keys that it follows in the
// store, and decides what to believe while the store is away or has just come
// back.
package mirror

import (
	"sort"
	"strings"
	"time"

	"github.com/jujubeford/jujubeford/store"
)

const (
	// outageGrace is how long entries that are missing after an outage are
	// believed: instances that live register again within about two seconds.
	outageGrace = 2200 * time.Millisecond
	// massRemovalGrace is the same when many entries vanish although no outage was seen.
	massRemovalGrace = 2200 * time.Millisecond
	// maxLogEntries is how many changes are kept for copies.
	maxLogEntries = 512
	// removalGrace is how long a removed entry is believed at other times, so
	// that the first of many is not dropped before the others are seen to go.
	removalGrace = 800 * time.Millisecond
)

// Mirror is a copy of some keys. It is not safe for concurrent use.
type Mirror struct {
	// ephemeralPrefix is the prefix of keys that their writers keep alive.
	ephemeralPrefix string
	entries         map[string]store.Entry
	// removedAt are removed entries that are still believed, with the time of
	// their removal.
	removedAt map[string]time.Time
	revision  uint64
	// lastChange is the revision of the last change that is kept here.
	lastChange uint64
	// changeLog are the last changes, for those who copy this mirror. What came before
	// logFrom is no longer in it.
	changeLog        []store.Change
	changeLogStart   uint64
	storeUnavailable bool
	// graceUntil is the end of the grace after an outage.
	graceUntil time.Time
}

// New returns an empty mirror.
func New(ephemeralPrefix string) *Mirror {
	return &Mirror{
		ephemeralPrefix: ephemeralPrefix,
		entries:         make(map[string]store.Entry), removedAt: make(map[string]time.Time),
	}
}

// At is the revision that the mirror is at least as new as; 0 before the first
// list.
func (m *Mirror) At() uint64 { return m.revision }

// News is the revision of the last change; unlike At it stands still while only
// other keys change.
func (m *Mirror) News() uint64 { return m.lastChange }

// Lost notes that the store does not answer. It reports whether that is news.
func (m *Mirror) Lost() bool {
	changed := !m.storeUnavailable
	m.storeUnavailable = true
	return changed
}

// Found notes that the store answers. It reports whether that is news.
func (m *Mirror) Found(now time.Time) bool {
	if !m.storeUnavailable {
		return false
	}
	m.storeUnavailable = false
	m.graceUntil = now.Add(outageGrace)
	return true
}

// Replace takes a whole list. Older lists than the mirror are ignored.
func (m *Mirror) Replace(now time.Time, entries []store.Entry, revision uint64) (changed bool) {
	if revision < m.revision {
		return false
	}
	isFirst := m.revision == 0
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		changed = m.putEntry(e) || changed
	}
	for key := range m.entries {
		if !listed[key] {
			changed = m.removeEntry(now, key, revision) || changed
		}
	}
	m.revision = revision
	if isFirst {
		m.changeLog, m.changeLogStart = nil, revision
	}
	return changed
}

// Apply takes changes in order.
func (m *Mirror) Apply(now time.Time, changes []store.Change, revision uint64) (changed bool) {
	for _, c := range changes {
		if c.Deleted {
			changed = m.removeEntry(now, c.Key, c.Index) || changed
			continue
		}
		changed = m.putEntry(c.Entry) || changed
	}
	m.revision = max(m.revision, revision)
	return changed
}

// putEntry takes an entry unless a newer one is there.
func (m *Mirror) putEntry(e store.Entry) bool {
	old, known := m.entries[e.Key]
	if known && e.Index < old.Index {
		return false
	}
	delete(m.removedAt, e.Key)
	m.entries[e.Key] = e
	if known && e.Index == old.Index {
		return false
	}
	m.logChange(store.Change{Entry: e})
	return true
}

// removeEntry takes an entry out; an ephemeral one is believed for a grace.
func (m *Mirror) removeEntry(now time.Time, key string, revision uint64) bool {
	if _, known := m.entries[key]; !known {
		return false
	}
	removal := store.Change{Entry: store.Entry{Key: key, Index: revision}, Deleted: true}
	if !strings.HasPrefix(key, m.ephemeralPrefix) {
		delete(m.entries, key)
		m.logChange(removal)
		return true
	}
	if _, removed := m.removedAt[key]; !removed {
		m.removedAt[key] = now
		m.logChange(removal)
	}
	return false
}

// logChange keeps a change for copies.
func (m *Mirror) logChange(c store.Change) {
	m.lastChange = max(m.lastChange, c.Index)
	if len(m.changeLog) == maxLogEntries {
		m.changeLogStart = max(m.changeLogStart, m.changeLog[0].Index)
		m.changeLog = append(m.changeLog[:0], m.changeLog[1:]...)
	}
	m.changeLog = append(m.changeLog, c)
}

// Since returns the changes after a revision, or false if they are no longer
// kept.
func (m *Mirror) Since(after uint64) (changes []store.Change, ok bool) {
	if after < m.changeLogStart || after == 0 {
		return nil, false
	}
	for _, c := range m.changeLog {
		if c.Index > after {
			changes = append(changes, c)
		}
	}
	return changes, true
}

// Expire drops the entries whose grace has ended.
func (m *Mirror) Expire(now time.Time) (changed bool) {
	if len(m.removedAt) == 0 || now.Before(m.graceUntil) {
		return false
	}
	grace := removalGrace
	if m.isMassRemoval() {
		grace = massRemovalGrace
	}
	for key, since := range m.removedAt {
		if now.Sub(since) >= grace {
			delete(m.removedAt, key)
			delete(m.entries, key)
			changed = true
		}
	}
	return changed
}

// isMassRemoval reports whether over a third of the ephemeral entries are missing,
// which is what leases look like that ended while the store was away.
func (m *Mirror) isMassRemoval() bool {
	total := 0
	for key := range m.entries {
		if strings.HasPrefix(key, m.ephemeralPrefix) {
			total++
		}
	}
	return len(m.removedAt) > 1 && 3*len(m.removedAt) > total
}

// RetainedCount counts the entries that are believed although they are gone.
func (m *Mirror) RetainedCount() int { return len(m.removedAt) }

// Entries lists the entries under a prefix in order of their keys.
func (m *Mirror) Entries(prefix string) []store.Entry {
	var matching []store.Entry
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) {
			matching = append(matching, e)
		}
	}
	sort.Slice(matching, func(i, j int) bool { return matching[i].Key < matching[j].Key })
	return matching
}

// Get returns one entry.
func (m *Mirror) Get(key string) (store.Entry, bool) {
	e, ok := m.entries[key]
	return e, ok
}

// IsLost reports whether the store does not answer.
func (m *Mirror) IsLost() bool { return m.storeUnavailable }

// Present lists all entries but those that are missing in the store.
func (m *Mirror) Present() []store.Entry {
	all := m.Entries("")
	present := all[:0]
	for _, e := range all {
		if _, removed := m.removedAt[e.Key]; !removed {
			present = append(present, e)
		}
	}
	return present
}
