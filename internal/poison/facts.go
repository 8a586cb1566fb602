package poison

import "time"

// Fact is what one router tells the others. Facts may arrive more than once and in any
// order.
type Fact struct {
	Kind  FactKind
	Trait Trait
	// Run is the crash that a FactSuspect is about, and Before the part before a part in the
	// prompt of the request, 0 if it is the first.
	Run    RunID
	Before uint64
	// Proven means that requests with the trait had succeeded before the crashes.
	Proven bool
	// Left is the time for which a trait is still blocked, in whole units of leftUnit.
	Left time.Duration
}

// FactKind says what a Fact states.
type FactKind uint8

const (
	// FactSuspect: a request with the trait was in flight when an upstream crashed.
	FactSuspect FactKind = iota + 1
	// FactCleared: a request with the trait has succeeded since crashes at which others
	// were in flight.
	FactCleared
	// FactBlocked: requests with the trait are refused.
	FactBlocked
)

// leftUnit is the unit in which the time left of a block is told, so that the Facts of all
// routers about it are alike. What is left is rounded down: routers that hear of a block
// from each other must not prolong it.
const leftUnit = 10 * time.Second

// maxNews bounds the Facts kept for the peers.
const maxNews = 512

// News returns the Facts for the peers since the last call. Blocked traits are announced
// again at repeatInterval.
func (s *State) News(now time.Time) []Fact {
	if now.Sub(s.announcedAt) >= repeatInterval {
		s.announcedAt = now
		for t, p := range s.suspicions {
			if left := p.blockedUntil.Sub(now).Truncate(leftUnit); left > leftUnit {
				s.news = append(s.news, Fact{Kind: FactBlocked, Trait: t, Proven: p.proven, Left: left})
			}
		}
	}
	list := s.news
	if len(list) > maxNews {
		list = list[:maxNews]
	}
	s.news = nil
	return list
}

// HasNews reports whether there are Facts that peers should hear of soon.
func (s *State) HasNews() bool { return len(s.news) > 0 }

// Learn applies the Facts of another router.
func (s *State) Learn(now time.Time, facts []Fact) {
	for _, f := range facts {
		switch f.Kind {
		case FactSuspect:
			if s.suspect(now, f) {
				if p := s.suspicions[f.Trait]; p.cleared {
					s.announceCleared(now, f.Trait, p)
				}
			}
		case FactCleared:
			s.succeeded.add(now, f.Trait)
			if p := s.suspicions[f.Trait]; p != nil {
				s.markCleared(now, f.Trait, p, true)
			}
		case FactBlocked:
			s.learnBlock(now, f)
		}
	}
	s.judgeRequests(now)
}

// learnBlock blocks a trait that another router has blocked, unless requests with it
// succeed here, or a blocked part explains its crashes.
func (s *State) learnBlock(now time.Time, f Fact) {
	left := min(f.Left, BlockTime)
	p := s.suspicionOf(now, f.Trait)
	if now.Before(p.blockedUntil) || left < leftUnit || s.explainedByPart(now, f.Trait, p) {
		return
	}
	if s.succeeded.has(now, f.Trait) && !f.Proven {
		p.contested = true
		p.recent = max(p.recent, crashThreshold)
		if p.cleared {
			s.announceCleared(now, f.Trait, p)
		}
		return
	}
	p.proven = f.Proven
	s.block(now, f.Trait, p, Change{Trait: f.Trait, Blocked: true, Crashes: len(p.crashes), Reported: true}, now.Add(left))
}
