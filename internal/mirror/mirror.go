// Package mirror maintains a router's copy of the store keys that it watches. It
// retains removed entries for a grace period, so that leases which expired during an
// outage of the store don't remove live instances from the copy.
package mirror

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/jujubeford/jujubeford/store"
)

const (
	// outageGrace is how long after an outage of the store the entries are retained that
	// were removed during it: live instances register again within about two seconds.
	outageGrace = 2200 * time.Millisecond
	// massRemovalGrace is how long entries are retained that are removed soon after an
	// outage, or many together. An instance that has left serves for two seconds, part of
	// which passes before routers learn of its removal.
	massRemovalGrace = 1600 * time.Millisecond
	// removalGrace is how long a removed entry is retained otherwise, so that the
	// first entry of a mass removal is not deleted before the other removals arrive.
	removalGrace = 800 * time.Millisecond
)

// Mirror is a copy of a set of store keys. It is not safe for concurrent use.
type Mirror struct {
	// ephemeralPrefix is the prefix of the keys that are bound to leases. Only their
	// removal is delayed.
	ephemeralPrefix string
	// entries includes the retained entries.
	entries map[string]store.Entry
	// removals contains the removals of the retained entries: those removed from the
	// store but not yet from the mirror.
	removals   map[string]Removal
	departures departures
	// at is the position of the store that the mirror has reached. The indexes of entries
	// are revisions of its era, 0 for entries that only an earlier era had.
	at store.Position
	// lastChange is the revision of the last change.
	lastChange uint64
	// removed contains the latest removals, for other copies that follow this mirror.
	removed removalLog
	// currentAt is until when the mirror is known to have had all changes of the store, zero if
	// that is not known, and lastBatch is about the last answer that had changes.
	currentAt time.Time
	lastBatch batch
	// maxRetention bounds for how long after its removal an entry may be retained.
	maxRetention     time.Duration
	storeUnavailable bool
	// graceUntil is the end of the grace period after the last outage.
	graceUntil time.Time
	// outageEnded means that the next answer of the store covers the last outage.
	outageEnded bool
}

// batch is what is known of when a batch of changes was made.
type batch struct {
	// since is the earliest time at which they may have been made, zero if not known.
	since time.Time
	// after is the revision of the last change before them.
	after uint64
}

// Removal is the removal of an ephemeral entry from the store.
type Removal struct {
	Key string
	// Revision is that of the removal, or that of the list in which the entry was missing.
	Revision uint64
	// At is when the mirror learnt of the removal, and Since the earliest time at which it may
	// have happened.
	At, Since time.Time
	// Until is when the copy that told of the removal deletes the entry, zero if none did.
	Until time.Time
	// InOutage means that the removal may be as old as the last outage of the store.
	InOutage bool
	// Listed means that the entry was missing in a list: the removal may have happened any
	// time since the change before, and all removals until then are known.
	Listed bool
}

// New returns an empty mirror. Keys with ephemeralPrefix are bound to leases. An entry that has
// been removed is retained for at most maxRetention from when it may have been removed, unless
// its lease may have expired in an outage of the store.
func New(ephemeralPrefix string, maxRetention time.Duration) *Mirror {
	return &Mirror{
		ephemeralPrefix: ephemeralPrefix, maxRetention: maxRetention,
		entries: make(map[string]store.Entry), removals: make(map[string]Removal),
		removed:    newRemovalLog(0),
		departures: newDepartures(),
	}
}

// Position returns the position of the store that the mirror has reached: it contains all
// changes up to there and possibly later ones. It is zero before the first Replace.
func (m *Mirror) Position() store.Position { return m.at }

// LastChange returns the position of the last change of a mirrored key. Unlike
// Position it does not advance while only other keys of the store change. It is not after
// Position: changes from there on, which the mirror may have some of, are still to come.
func (m *Mirror) LastChange() store.Position {
	return store.Position{Era: m.at.Era, Revision: min(m.lastChange, m.at.Revision)}
}

// AdoptLastChange raises LastChange to that of a copy whose changes have been applied. Copies
// that learnt of a change from lists may have another revision for it.
func (m *Mirror) AdoptLastChange(p store.Position) {
	if p.Era == m.at.Era && p.Revision <= m.at.Revision {
		m.lastChange = max(m.lastChange, p.Revision)
	}
}

// MarkCurrent records that the mirror had all changes that the store had at a time.
func (m *Mirror) MarkCurrent(at time.Time) {
	if at.After(m.currentAt) {
		m.currentAt = at
	}
}

// CurrentAt returns until when the mirror is known to have had all changes of the store, zero if
// that is not known.
func (m *Mirror) CurrentAt() time.Time { return m.currentAt }

// LastBatch returns the earliest time at which the last changes may have been made, zero if that
// is not known, and the revision of the last change before them.
func (m *Mirror) LastBatch() (since time.Time, after uint64) {
	return m.lastBatch.since, m.lastBatch.after
}

// noteBatch records when the changes after a revision may have been made, if there are any.
func (m *Mirror) noteBatch(after uint64) {
	if m.lastChange != after {
		m.lastBatch = batch{m.currentAt, after}
	}
}

// MarkStoreUnavailable records that the store is unavailable, and reports whether it
// was available before.
func (m *Mirror) MarkStoreUnavailable() bool {
	changed := !m.storeUnavailable
	m.storeUnavailable = true
	return changed
}

// MarkStoreAvailable records that the store is available. If it was unavailable
// before, MarkStoreAvailable starts the grace period and returns true. The next Replace or
// Apply must be that of the answer which ended the outage.
func (m *Mirror) MarkStoreAvailable(now time.Time) bool {
	if !m.storeUnavailable {
		return false
	}
	m.storeUnavailable = false
	m.graceUntil, m.outageEnded = now.Add(outageGrace), true
	return true
}

// Replace replaces the mirror by a complete list of entries as of a position, and
// reports whether Entries changes. A list older than the mirror is ignored.
func (m *Mirror) Replace(now time.Time, entries []store.Entry, at store.Position) (changed bool) {
	if at.Before(m.at) {
		m.outageEnded = false
		return false
	}
	defer m.noteBatch(m.lastChange)
	isNewEra := m.at != store.Position{} && at.Era != m.at.Era
	if isNewEra {
		m.beginEra(now)
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		if m.isEphemeral(e.Key) {
			m.departures.recordListed(now, e, isNewEra)
		}
		changed = m.putEntry(e) || changed
	}
	for key := range m.entries {
		if !listed[key] {
			changed = m.removeEntry(now, key, at.Revision, true) || changed
		}
	}
	// The list doesn't tell of keys that were written and removed since the last position, which
	// copies may have.
	m.removed = newRemovalLog(at.Revision)
	m.at, m.outageEnded = at, false
	if isNewEra {
		m.lastChange = at.Revision
	}
	return changed
}

// beginEra prepares the mirror for the list of a store that was restored from an older copy:
// whatever the list has is newer than the entries of the mirror. Those that it lacks may be
// written again, as after an outage.
func (m *Mirror) beginEra(now time.Time) {
	m.rememberRemovals(now)
	for key, e := range m.entries {
		e.Index = 0
		m.entries[key] = e
	}
	m.lastChange, m.outageEnded = 0, true
	if until := now.Add(outageGrace); until.After(m.graceUntil) {
		m.graceUntil = until
	}
}

// Apply applies ordered changes up to a position, and reports whether Entries
// changes. Changes that the mirror contains already are skipped: answers may be applied in
// another order than they were given. So are those of another era than the mirror's.
func (m *Mirror) Apply(now time.Time, changes []store.Change, at store.Position) (changed bool) {
	defer func() { m.outageEnded = false }()
	if at.Era != m.at.Era {
		return false
	}
	defer m.noteBatch(m.lastChange)
	for _, c := range changes {
		if c.Index <= m.at.Revision {
			continue
		}
		if c.Deleted {
			changed = m.removeEntry(now, c.Key, c.Index, false) || changed
			continue
		}
		if m.isEphemeral(c.Key) {
			m.departures.recordWritten(c.Entry)
		}
		changed = m.putEntry(c.Entry) || changed
	}
	m.at.Revision = max(m.at.Revision, at.Revision)
	return changed
}

// ApplyListed applies the entries of a part of a list that are newer than the mirror's position,
// and reports whether Entries changes. The position stays: changes from there on are still to
// come. Entries of another era are skipped.
func (m *Mirror) ApplyListed(entries []store.Entry, era uint64) (changed bool) {
	if m.at == (store.Position{}) || era != m.at.Era {
		return false
	}
	defer m.noteBatch(m.lastChange)
	for _, e := range entries {
		if e.Index > m.at.Revision {
			changed = m.putEntry(e) || changed
		}
	}
	return changed
}

// putEntry stores an entry unless the mirror has a newer one, and reports whether the
// entry is new or changed.
func (m *Mirror) putEntry(e store.Entry) bool {
	old, known := m.entries[e.Key]
	if known && e.Index < old.Index {
		return false
	}
	delete(m.removals, e.Key)
	m.removed.delete(e.Key)
	m.entries[e.Key] = e
	if known && e.Index == old.Index {
		return false
	}
	m.lastChange = max(m.lastChange, e.Index)
	return true
}

// removeEntry removes an entry and reports whether it did. An ephemeral entry is only
// marked as removed; RemoveExpired deletes it after its grace period.
func (m *Mirror) removeEntry(now time.Time, key string, revision uint64, listed bool) bool {
	e, known := m.entries[key]
	_, removed := m.removals[key]
	if known && e.Index > revision || listed && removed {
		return false
	}
	// Copies may have a key that was written and removed while this mirror was behind.
	m.logRemoval(key, revision)
	if !known || removed {
		return false
	}
	if !strings.HasPrefix(key, m.ephemeralPrefix) {
		delete(m.entries, key)
		return true
	}
	since := m.currentAt
	if since.IsZero() {
		since = now
	}
	m.removals[key] = Removal{Key: key, Revision: revision, At: now, Since: since, InOutage: m.outageEnded, Listed: listed}
	return false
}

func (m *Mirror) logRemoval(key string, revision uint64) {
	m.lastChange = max(m.lastChange, revision)
	m.removed.add(key, revision)
}

// ChangesSince returns the changes after a position, of each key the last one. It returns
// false if the removals since then are not known, as in another era, or if after is zero; the
// caller then needs a complete list (EntriesInStore).
func (m *Mirror) ChangesSince(after store.Position) (changes []store.Change, ok bool) {
	if after.Era != m.at.Era || after.Revision == 0 || after.Revision < m.removed.start {
		return nil, false
	}
	for key, e := range m.entries {
		if _, removed := m.removals[key]; !removed && e.Index > after.Revision {
			changes = append(changes, store.Change{Entry: e})
		}
	}
	changes = append(changes, m.removed.after(after.Revision)...)
	slices.SortFunc(changes, store.CompareChanges)
	return changes, true
}

// RemoveExpired deletes the retained entries whose grace period has ended, and returns
// their removals.
func (m *Mirror) RemoveExpired(now time.Time) (expired []Removal) {
	if len(m.removals) == 0 {
		return nil
	}
	isMassRemoval := m.isMassRemoval()
	for key, r := range m.removals {
		if !now.Before(m.retainedUntil(r, isMassRemoval)) {
			delete(m.removals, key)
			delete(m.entries, key)
			m.departures.recordRemoved(now, key)
			expired = append(expired, r)
		}
	}
	return expired
}

// retainedUntil returns when a retained entry is to be deleted.
func (m *Mirror) retainedUntil(r Removal, isMassRemoval bool) time.Time {
	until := r.At.Add(removalGrace)
	switch {
	case r.InOutage:
		return m.graceUntil
	case !r.Until.IsZero():
		return r.Until
	case isMassRemoval || r.At.Before(m.graceUntil):
		until = r.At.Add(massRemovalGrace)
	case r.Listed:
		until = r.At
	}
	if latest := r.Since.Add(m.maxRetention); until.After(latest) {
		return latest
	}
	return until
}

// Retained returns for how much longer each retained entry will be retained, so that copies of
// this mirror retain them equally long.
func (m *Mirror) Retained(now time.Time) map[string]time.Duration {
	if len(m.removals) == 0 {
		return nil
	}
	isMassRemoval := m.isMassRemoval()
	left := make(map[string]time.Duration, len(m.removals))
	for key, r := range m.removals {
		left[key] = m.retainedUntil(r, isMassRemoval).Sub(now)
	}
	return left
}

// Retain makes the mirror retain removed entries for as long as the mirror that it was copied
// from does.
func (m *Mirror) Retain(now time.Time, left map[string]time.Duration) {
	for key, d := range left {
		if r, ok := m.removals[key]; ok {
			r.Until = now.Add(d)
			m.removals[key] = r
		}
	}
}

// isMassRemoval reports whether several entries, and more than a third of the
// ephemeral ones, are marked as removed. This indicates that leases expired together
// during an outage of the store.
func (m *Mirror) isMassRemoval() bool {
	total := 0
	for key := range m.entries {
		if strings.HasPrefix(key, m.ephemeralPrefix) {
			total++
		}
	}
	return len(m.removals) > 1 && 3*len(m.removals) > total
}

// RetainedCount returns the number of retained entries: those removed from the store
// but not yet from the mirror.
func (m *Mirror) RetainedCount() int { return len(m.removals) }

// Entries returns the entries under a prefix, including retained ones, sorted by key.
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

// Get returns the entry of a key, which may be a retained one.
func (m *Mirror) Get(key string) (store.Entry, bool) {
	e, ok := m.entries[key]
	return e, ok
}

// IsStoreUnavailable reports whether the store is unavailable.
func (m *Mirror) IsStoreUnavailable() bool { return m.storeUnavailable }

// EntriesInStore returns all entries except the retained ones, sorted by key.
func (m *Mirror) EntriesInStore() []store.Entry {
	all := m.Entries("")
	present := all[:0]
	for _, e := range all {
		if _, removed := m.removals[e.Key]; !removed {
			present = append(present, e)
		}
	}
	return present
}
