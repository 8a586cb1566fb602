package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/dispatch"
)

const (
	// relaysPerDomain is the number of relays of a failure domain: one that the routers
	// use and one that takes over at once when the first is silent.
	relaysPerDomain = 2
	// WatchersPerDomain is the number of routers of a failure domain that watch the
	// store. Two, so that changes arrive while one of them is frozen or cut off.
	WatchersPerDomain = 2
	// maxDirectDomain is the number of routers of a failure domain up to which each reports
	// to all others there.
	maxDirectDomain = 32
	// reportInterval is the minimum time between two reports of a router. A report with
	// small changes waits for quietInterval, one without changes for keepAliveInterval.
	reportInterval    = 30 * time.Millisecond
	quietInterval     = 120 * time.Millisecond
	keepAliveInterval = 400 * time.Millisecond
	// reportThreshold is the change of a router's loads, in tokens, from which they are
	// reported at the next reportInterval. An engine reads that many tokens in 40 ms.
	reportThreshold = 2000
	// sumInterval is the time between two sums that a relay sends to the routers of its
	// failure domain, and domainInterval that between two sums for other failure domains.
	// The second relay sends less often.
	sumInterval          = 50 * time.Millisecond
	backupSumInterval    = 200 * time.Millisecond
	domainInterval       = 150 * time.Millisecond
	backupDomainInterval = 600 * time.Millisecond
	// relayTimeout is the silence after which another relay of the own failure domain is
	// used: two sums of a second relay. remoteTimeout is the same for the relays of
	// other failure domains, of which the second one is heard less often.
	relayTimeout  = 2 * backupSumInterval
	remoteTimeout = 4 * backupDomainInterval
	// probeInterval is the time between two reports to a relay that does not answer.
	probeInterval = time.Second
	// silenceMemory is how long a relay counts as silent that is no longer probed.
	silenceMemory = 5 * time.Second
	// tickTolerance is how much too early a Tick may come for what it is due for.
	tickTolerance = reportInterval / 3
	// loadTimeout is how long the loads of a silent router or failure domain count.
	loadTimeout = 1500 * time.Millisecond
	// enoughMembers is the part of the best-informed relay's reports that a relay must
	// have to be preferred for its rank: one that has just taken over knows few.
	enoughMembers = 0.75
)

// Router is a router of the fleet as it is registered.
type Router struct {
	// Addr identifies the router.
	Addr   string
	Domain string
	// Cores is the processor time that the router may use, 0 if not known. Routers with
	// more are preferred as relays.
	Cores float64
}

// Status is what a router says of itself with each datagram.
type Status struct {
	// StoreLost means that the store does not answer the router.
	StoreLost bool
	// Leaving means that the router is stopping.
	Leaving bool
}

// State is one router's part in passing reports on.
type State struct {
	self   Router
	status Status
	// ranked lists the routers of each failure domain, preferred relays first.
	ranked map[string][]string
	// links holds what is known of each router as a relay that this router sends to.
	links map[string]*link
	// members holds the last reports of the routers that report to this one.
	members map[string]*member
	// domains holds the last sum of each other failure domain.
	domains map[string]*domainSum
	// ownView and elsewhereView are the sources of the sums in use at this router.
	ownView, elsewhereView source
	// sent holds the latest own reports by serial number, to be taken out of sums.
	sent []sentReport

	reportedAt, summedAt, domainSentAt, elsewhereSentAt time.Time
	// ownSpeeds is what this router has measured of upstreams, and the times are when each
	// kind of sum last said what was measured.
	ownSpeeds                                         speeds
	memberSpeedsAt, domainSpeedsAt, elsewhereSpeedsAt time.Time
	// changed means that a report has arrived since the last sum.
	changed bool

	toMembers, toDomains, fromElsewhere newsQueue

	// direct means that the routers of this failure domain report to each other.
	direct bool
	// isRelay and isFirst are the result of updateRole.
	isRelay, isFirst bool
}

// link is another router in its role as a relay.
type link struct {
	heardAt time.Time
	// usedSince is since when reports have been sent to it without a pause, zero if none
	// are. probedAt is when it was last sent one while silent.
	usedSince, probedAt time.Time
	// active means that a sum of it has arrived within loadTimeout, silent that it does
	// not answer, and leaving that it is stopping.
	active, silent, leaving bool
	// members is the number of routers whose reports its last sum contained.
	members int
}

// member is a router that reports to this one.
type member struct {
	at     time.Time
	serial uint64
	status Status
	report dispatch.Report
	speeds speeds
}

// domainSum is the sum of another failure domain.
type domainSum struct {
	source source
	report dispatch.Report
	speeds speeds
}

// source is the relay whose sums are in use.
type source struct {
	addr    string
	at      time.Time
	members int
	watch   bool
}

// sentReport is an own report that a sum may contain.
type sentReport struct {
	serial uint64
	report dispatch.Report
}

// New returns the State of a router that knows no others.
func New(self Router) *State {
	s := &State{self: self, links: make(map[string]*link), members: make(map[string]*member), domains: make(map[string]*domainSum)}
	s.SetRouters(nil)
	return s
}

// SetStatus sets what this router says of itself.
func (s *State) SetStatus(status Status) { s.status = status }

// SetRouters replaces the registered routers. This router need not be among them.
func (s *State) SetRouters(routers []Router) {
	byDomain := map[string][]Router{s.self.Domain: {s.self}}
	known := map[string]bool{s.self.Addr: true}
	for _, r := range routers {
		if !known[r.Addr] {
			known[r.Addr] = true
			byDomain[r.Domain] = append(byDomain[r.Domain], r)
		}
	}
	s.ranked = make(map[string][]string, len(byDomain))
	for domain, list := range byDomain {
		slices.SortFunc(list, func(a, b Router) int {
			return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Addr, b.Addr))
		})
		for _, r := range list {
			s.ranked[domain] = append(s.ranked[domain], r.Addr)
		}
	}
	s.direct = len(s.ranked[s.self.Domain]) <= maxDirectDomain
	for addr := range s.links {
		if !known[addr] {
			delete(s.links, addr)
		}
	}
}

// rank returns the position of a router among those of its failure domain; unknown
// routers come last.
func (s *State) rank(domain, addr string) int {
	if i := slices.Index(s.ranked[domain], addr); i >= 0 {
		return i
	}
	return len(s.ranked[domain])
}

// usable reports whether a router may be used as a relay.
func (s *State) usable(addr string) bool {
	if addr == s.self.Addr {
		return !s.status.Leaving
	}
	l := s.links[addr]
	return l == nil || !l.silent && !l.leaving
}

// relays returns the relays of a failure domain, this router included: the first usable
// ones in order of rank. In other failure domains those that have been heard lately come
// first. If none is usable, it returns the first ones.
func (s *State) relays(domain string) []string {
	ranked := s.ranked[domain]
	var list []string
	add := func(wanted func(addr string) bool) {
		for _, addr := range ranked {
			if len(list) < relaysPerDomain && wanted(addr) && !slices.Contains(list, addr) {
				list = append(list, addr)
			}
		}
	}
	if domain != s.self.Domain {
		add(func(addr string) bool { l := s.links[addr]; return l != nil && l.active && s.usable(addr) })
	}
	add(s.usable)
	if len(list) == 0 {
		return ranked[:min(relaysPerDomain, len(ranked))]
	}
	return list
}

// Direct reports whether the routers of this failure domain report to each other, so that
// their reports are used as they come.
func (s *State) Direct() bool { return s.direct }

// updateRole sets isRelay, whether this router is a relay of its failure domain, and
// isFirst, whether it is the one that sends more often: that of the best rank that knows
// about as many routers as this one.
func (s *State) updateRole() {
	relays := s.relays(s.self.Domain)
	s.isRelay, s.isFirst = slices.Contains(relays, s.self.Addr), false
	for _, addr := range relays {
		if addr == s.self.Addr {
			s.isFirst = true
			return
		}
		if l := s.links[addr]; l == nil || float64(l.members) >= enoughMembers*float64(len(s.members)+1) {
			return
		}
	}
}

// IsFirst reports whether this router is the first relay of its failure domain.
func (s *State) IsFirst() bool { return s.isFirst }

// Rank returns the position of this router among those of its failure domain, in the order in
// which they are preferred as relays and as those that watch the store.
func (s *State) Rank() int { return s.rank(s.self.Domain, s.self.Addr) }

// Watches reports whether this router has to watch the store: a relay says so, or no
// relay has been heard for loadTimeout.
func (s *State) Watches(now time.Time) bool {
	if s.isRelay && len(s.members) > 0 {
		return s.watchers()[s.self.Addr]
	}
	if now.Sub(s.ownView.at) > loadTimeout {
		return true
	}
	return s.ownView.watch
}

// watchers returns the routers that have to watch the store: the first in order of rank
// that report, are not stopping and reach it. If there are too few, others go on trying, so
// that it is noticed when the store is back.
func (s *State) watchers() map[string]bool {
	list := make(map[string]bool, WatchersPerDomain)
	for _, reaches := range []bool{true, false} {
		for _, addr := range s.ranked[s.self.Domain] {
			status := s.status
			if addr != s.self.Addr {
				m := s.members[addr]
				if m == nil {
					continue
				}
				status = m.status
			}
			if !status.Leaving && status.StoreLost != reaches && len(list) < WatchersPerDomain {
				list[addr] = true
			}
		}
	}
	return list
}
