package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// entryFor returns the entry of a request and creates it if there is none. It
// returns nil if the organisation is new and too many others have entries.
func (s *State) entryFor(organisation string, fingerprint Fingerprint) *entry {
	entries := s.organisations[organisation]
	if entries == nil {
		if len(s.organisations) >= maxOrganisations {
			return nil
		}
		entries = map[Fingerprint]*entry{}
		s.organisations[organisation] = entries
	}
	e := entries[fingerprint]
	if e == nil {
		e = &entry{organisation: organisation, fingerprint: fingerprint}
		entries[fingerprint] = e
	}
	return e
}

// evictOldest removes an organisation's oldest entry if it has too many. It never
// removes entries of other organisations.
func (s *State) evictOldest(organisation string) {
	entries := s.organisations[organisation]
	if len(entries) <= maxPerOrganisation {
		return
	}
	oldest := s.entriesByAge(organisation)[0]
	delete(entries, oldest.fingerprint)
}

// entriesByAge returns an organisation's entries, the least recently changed
// first.
func (s *State) entriesByAge(organisation string) []*entry {
	entries := slices.Collect(maps.Values(s.organisations[organisation]))
	slices.SortFunc(entries, func(a, b *entry) int {
		if order := a.lastEvent().Compare(b.lastEvent()); order != 0 {
			return order
		}
		return bytes.Compare(a.fingerprint[:], b.fingerprint[:])
	})
	return entries
}

// expire removes the entries whose last crash or release is older than CrashTTL.
func (s *State) expire(now time.Time) {
	for organisation, entries := range s.organisations {
		for fingerprint, e := range entries {
			if !now.Before(e.lastEvent().Add(CrashTTL)) {
				delete(entries, fingerprint)
			}
		}
		if len(entries) == 0 {
			delete(s.organisations, organisation)
		}
	}
}

// organisationNames returns the names of the organisations with entries, sorted.
func (s *State) organisationNames() []string {
	return slices.Sorted(maps.Keys(s.organisations))
}

// withinTTL reports whether a crash or release at the given time is not older
// than CrashTTL; false for the zero time.
func withinTTL(now, at time.Time) bool {
	return !at.IsZero() && now.Before(at.Add(CrashTTL))
}
