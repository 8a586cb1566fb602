package evacuation

import (
	"cmp"
	"slices"
	"time"
)

// RestoreGrace is how long an evacuation that a restored store lacks stays in force: until
// the operator has written it again. It is the users' bound for an evacuation to take effect,
// so that one which is written again at once never lapses in between.
const RestoreGrace = 5 * time.Second

// Outcome is what became of an evacuation.
type Outcome uint8

// The outcomes.
const (
	// Began: the operator requested it.
	Began Outcome = iota
	// Retained: the store was restored from an older copy that lacks the request.
	Retained
	// Confirmed: the request that the restored store lacked has been written again.
	Confirmed
	// Ended: the operator took it back, or did not write it again after a restore.
	Ended
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	return [...]string{"began", "retained", "confirmed", "ended"}[o]
}

// Change is a change of one domain's evacuation.
type Change struct {
	Domain  string
	Outcome Outcome
	// Since is when this router learnt of the evacuation.
	Since time.Time
}

// evacuation is the evacuation of one domain.
type evacuation struct {
	since time.Time
	// era is the era of the store that had the request last.
	era uint64
	// missingSince is when the store of a later era, missingEra, was first found to lack the
	// request, zero if the store has it.
	missingSince time.Time
	missingEra   uint64
}

// State holds the evacuations in force. It is not safe for concurrent use.
type State struct {
	domains map[string]evacuation
}

// New returns a State without evacuations.
func New() *State { return &State{domains: make(map[string]evacuation)} }

// Update replaces the requests by those of a store of an era, and returns what changed, by
// domain.
func (s *State) Update(now time.Time, era uint64, requested []string) (changes []Change) {
	for _, domain := range requested {
		e, known := s.domains[domain]
		switch {
		case !known:
			e.since = now
			changes = append(changes, Change{domain, Began, e.since})
		case !e.missingSince.IsZero():
			changes = append(changes, Change{domain, Confirmed, e.since})
		}
		e.era, e.missingSince = era, time.Time{}
		s.domains[domain] = e
	}
	for domain, e := range s.domains {
		switch {
		case slices.Contains(requested, domain):
		case e.era == era:
			delete(s.domains, domain)
			changes = append(changes, Change{domain, Ended, e.since})
		case e.missingSince.IsZero() || e.missingEra != era:
			// A store that is restored again has lost what was written since.
			if e.missingSince.IsZero() {
				changes = append(changes, Change{domain, Retained, e.since})
			}
			e.missingSince, e.missingEra = now, era
			s.domains[domain] = e
		}
	}
	sortByDomain(changes)
	return changes
}

// Expire ends the evacuations that were not written again after a restore.
func (s *State) Expire(now time.Time) (ended []Change) {
	for domain, e := range s.domains {
		if !e.missingSince.IsZero() && now.Sub(e.missingSince) >= RestoreGrace {
			delete(s.domains, domain)
			ended = append(ended, Change{domain, Ended, e.since})
		}
	}
	sortByDomain(ended)
	return ended
}

// Domains returns the evacuated domains, with the time at which this router learnt of each.
func (s *State) Domains() map[string]time.Time {
	domains := make(map[string]time.Time, len(s.domains))
	for domain, e := range s.domains {
		domains[domain] = e.since
	}
	return domains
}

// sortByDomain orders changes, so that logs do not depend on the order of a map.
func sortByDomain(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Domain, b.Domain) })
}
