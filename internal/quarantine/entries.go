package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// entryFor returns the entry of a request, a new one if there is none; nil if too
// many organisations have entries.
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

// evictOldest drops an organisation's oldest entry if it has too many. Entries of
// other organisations are never touched.
func (s *State) evictOldest(organisation string) {
	entries := s.organisations[organisation]
	if len(entries) <= maxPerOrganisation {
		return
	}
	oldest := s.entriesByAge(organisation)[0]
	delete(entries, oldest.fingerprint)
}

// entriesByAge returns an organisation's entries, the oldest first.
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

// expire drops what no longer counts.
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

// organisationNames returns the organisations with entries, sorted.
func (s *State) organisationNames() []string {
	return slices.Sorted(maps.Keys(s.organisations))
}

// withinTTL reports whether something that happened at a time still counts.
func withinTTL(now, at time.Time) bool {
	return !at.IsZero() && now.Before(at.Add(CrashTTL))
}
