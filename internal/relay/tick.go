package relay

import (
	"slices"
	"time"

	"github.com/jujubeford/jujubeford/internal/dispatch"
)

const (
	// TickInterval is the time between two Ticks, and idleTickInterval that of a router
	// that has nothing to report.
	TickInterval     = reportInterval
	idleTickInterval = 2 * reportInterval
)

// DomainView and ElsewhereView are the names of the two sums that a router uses.
const (
	DomainView    = "own domain"
	ElsewhereView = "other domains"
)

// Receiver is a router to which a relay sends a sum.
type Receiver struct {
	Addr string
	// Applied is the serial number of the receiver's report in the sum, and Watch tells
	// it to watch the store. Both are set for sums of the receiver's failure domain only.
	Applied uint64
	Watch   bool
}

// NextTick is the time until the next Tick: less while this router passes reports on or
// has loads to report.
func (s *State) NextTick(unreported int) time.Duration {
	if s.isRelay || len(s.members) > 0 || unreported > 0 {
		return TickInterval
	}
	return idleTickInterval
}

// Effect is an action that Tick requests.
type Effect interface{ isEffect() }

type (
	// SendReport sends this router's own report under a new serial number, which has to
	// be passed to Reported. To may be empty.
	SendReport struct {
		To     []string
		Report dispatch.Report
	}
	// SendDomain sends the sum of this failure domain, to its routers or to the relays of
	// other failure domains.
	SendDomain struct {
		To      []Receiver
		Members int
		Report  dispatch.Report
	}
	// SendElsewhere sends the sum of the other failure domains.
	SendElsewhere struct {
		To     []Receiver
		Report dispatch.Report
	}
	// Apply makes a sum the view of the dispatcher under a name.
	Apply struct {
		Name   string
		Report dispatch.Report
	}
	// Drop removes a view that is out of date from the dispatcher.
	Drop struct{ Name string }
)

func (SendReport) isEffect()    {}
func (SendDomain) isEffect()    {}
func (SendElsewhere) isEffect() {}
func (Apply) isEffect()         {}
func (Drop) isEffect()          {}

// Tick returns what is due. unreported is the change of this router's loads since its
// last report, in tokens, and own returns its report. If urgent is set, reports and sums
// are due at once.
func (s *State) Tick(now time.Time, unreported int, urgent bool, own func() dispatch.Report) (effects []Effect) {
	effects = s.expire(now)
	s.updateRole()
	isRelay, isFirst := s.isRelay, s.isFirst
	sumDue := s.sumDue(now, isFirst, urgent)
	domainDue := isRelay && s.due(now, s.domainSentAt, isFirst, domainInterval, backupDomainInterval)
	if urgent || sumDue || domainDue || s.reportDue(now, unreported) {
		// The other relay gets the report along with each sum: own takes the news.
		s.reportedAt = now
		report := own()
		s.toDomains.add(report)
		s.toMembers.add(report)
		effects = append(effects, SendReport{To: s.reportTargets(now), Report: report})
		s.ownSpeeds.takeFrom(&report)
		if sumDue {
			effects = append(effects, s.domainSums(now, isFirst, report)...)
		}
		if domainDue {
			effects = append(effects, s.remoteSum(now, report)...)
		}
	}
	if isRelay {
		effects = append(effects, s.elsewhereSums(now, isFirst)...)
	}
	return effects
}

// due reports whether something that a first relay does at one interval, and a second one
// at another, is due again. A Tick that comes a little early counts as due.
func (s *State) due(now, last time.Time, isFirst bool, first, backup time.Duration) bool {
	interval := backup
	if isFirst {
		interval = first
	}
	return now.Sub(last) >= interval-tickTolerance
}

func (s *State) sumDue(now time.Time, isFirst, urgent bool) bool {
	if s.direct && !s.isRelay {
		return false
	}
	return len(s.members) > 0 && (urgent || s.due(now, s.summedAt, isFirst && s.changed, sumInterval, backupSumInterval))
}

func (s *State) reportDue(now time.Time, unreported int) bool {
	interval := keepAliveInterval
	switch {
	case unreported >= reportThreshold:
		interval = reportInterval
	case unreported > 0:
		interval = quietInterval
	}
	return now.Sub(s.reportedAt) >= interval-tickTolerance
}

// reportTargets returns the routers of this failure domain that get this router's report:
// its relays, or all if they report to each other.
func (s *State) reportTargets(now time.Time) (to []string) {
	if s.direct {
		for _, addr := range s.ranked[s.self.Domain] {
			if addr != s.self.Addr {
				to = append(to, addr)
			}
		}
		s.eachTarget(now, s.self.Domain, func(string) {})
		return to
	}
	s.eachTarget(now, s.self.Domain, func(addr string) { to = append(to, addr) })
	return to
}

// remoteTargets returns the relays of the other failure domains.
func (s *State) remoteTargets(now time.Time) (to []Receiver) {
	for domain := range s.ranked {
		if domain != s.self.Domain {
			s.eachTarget(now, domain, func(addr string) { to = append(to, Receiver{Addr: addr}) })
		}
	}
	return to
}

// eachTarget calls send for the relays of a failure domain that are in use and, at each
// probeInterval, for those of a better rank that do not answer.
func (s *State) eachTarget(now time.Time, domain string, send func(addr string)) {
	relays := s.relays(domain)
	last := 0
	for _, addr := range relays {
		last = max(last, s.rank(domain, addr))
	}
	for rank, addr := range s.ranked[domain] {
		if addr == s.self.Addr {
			continue
		}
		wanted := slices.Contains(relays, addr)
		if !wanted && rank > last {
			if l := s.links[addr]; l != nil {
				l.usedSince = time.Time{}
			}
			continue
		}
		if s.use(now, addr, wanted) {
			send(addr)
		}
	}
}

// use reports whether to send to a relay now, and keeps its link up to date. wanted means
// that it is in use; otherwise it is only probed.
func (s *State) use(now time.Time, addr string, wanted bool) bool {
	l := s.linkTo(addr)
	switch {
	case !wanted:
		l.usedSince = time.Time{}
	case l.usedSince.IsZero():
		l.usedSince = now
	}
	if wanted && !l.silent {
		return true
	}
	if now.Sub(l.probedAt) < probeInterval {
		return false
	}
	l.probedAt = now
	return true
}

// domainSums sends the sum of this failure domain to the routers that report to this one.
func (s *State) domainSums(now time.Time, isFirst bool, own dispatch.Report) []Effect {
	s.summedAt, s.changed = now, false
	sum := dispatch.NewReport()
	if !s.direct {
		sum = s.domainSum(own)
		s.toMembers.moveTo(&sum)
	}
	speedsDue := !s.direct && due(now, &s.memberSpeedsAt)
	if speedsDue {
		sum.Speeds = s.domainSpeeds()
	}
	watchers := s.watchers()
	var to []Receiver
	for addr, m := range s.members {
		to = append(to, Receiver{Addr: addr, Applied: m.serial, Watch: watchers[addr]})
	}
	effects := []Effect{SendDomain{To: to, Members: len(s.members) + 1, Report: sum}}
	if isFirst {
		s.ownView = source{addr: s.self.Addr, at: now, members: len(s.members) + 1}
	}
	if isFirst && !s.direct {
		// This relay uses its own sum, without its own part.
		others := s.memberSum()
		others.Placements, others.Crashes = sum.Placements, sum.Crashes
		if speedsDue {
			others.Speeds = s.memberSpeeds()
		}
		effects = append(effects, Apply{Name: DomainView, Report: others})
	}
	return effects
}

// remoteSum sends the sum of this failure domain to the relays of the others.
func (s *State) remoteSum(now time.Time, own dispatch.Report) []Effect {
	s.domainSentAt = now
	to := s.remoteTargets(now)
	if len(to) == 0 {
		return nil
	}
	sum := s.domainSum(own)
	s.toDomains.moveTo(&sum)
	if due(now, &s.domainSpeedsAt) {
		sum.Speeds = s.domainSpeeds()
	}
	return []Effect{SendDomain{To: to, Members: len(s.members) + 1, Report: sum}}
}

// elsewhereSums sends the sum of the other failure domains to the routers that report to
// this one.
func (s *State) elsewhereSums(now time.Time, isFirst bool) []Effect {
	if len(s.domains) == 0 || !s.due(now, s.elsewhereSentAt, isFirst, domainInterval, backupDomainInterval) {
		return nil
	}
	s.elsewhereSentAt = now
	sum := s.elsewhereSum()
	if due(now, &s.elsewhereSpeedsAt) {
		sum.Speeds = s.elsewhereSpeeds()
	}
	var to []Receiver
	for addr := range s.members {
		to = append(to, Receiver{Addr: addr})
	}
	effects := []Effect{SendElsewhere{To: to, Report: sum}}
	if isFirst {
		s.elsewhereView = source{addr: s.self.Addr, at: now}
		effects = append(effects, Apply{Name: ElsewhereView, Report: sum})
	}
	return effects
}

// Reported records the serial number under which this router's report was sent.
func (s *State) Reported(serial uint64, r dispatch.Report) {
	// A sum is at most relayTimeout old when it is used.
	const kept = int(relayTimeout/reportInterval) + 2
	if len(s.sent) == kept {
		s.sent = append(s.sent[:0], s.sent[1:]...)
	}
	r.Placements, r.Crashes = nil, nil
	s.sent = append(s.sent, sentReport{serial, r})
}

// expire drops what is out of date and marks relays that do not answer.
func (s *State) expire(now time.Time) (effects []Effect) {
	for addr, m := range s.members {
		if now.Sub(m.at) > loadTimeout {
			delete(s.members, addr)
			s.changed = true
		}
	}
	for domain, d := range s.domains {
		if now.Sub(d.source.at) > loadTimeout {
			delete(s.domains, domain)
		}
	}
	s.markSilent(now)
	for _, v := range []struct {
		name string
		view *source
	}{{DomainView, &s.ownView}, {ElsewhereView, &s.elsewhereView}} {
		if v.view.addr != "" && now.Sub(v.view.at) > loadTimeout {
			*v.view = source{}
			effects = append(effects, Drop{Name: v.name})
		}
	}
	return effects
}

// markSilent marks relays that do not answer, and forgets that others did not once they
// are no longer probed.
func (s *State) markSilent(now time.Time) {
	for addr, l := range s.links {
		l.active = l.active && now.Sub(l.heardAt) <= loadTimeout
		timeout := remoteTimeout
		if s.rank(s.self.Domain, addr) < len(s.ranked[s.self.Domain]) {
			timeout = relayTimeout
		}
		switch {
		case l.silent && now.Sub(l.probedAt) > silenceMemory:
			l.silent = false
		case !l.silent && !l.usedSince.IsZero() && now.Sub(l.usedSince) > timeout && now.Sub(l.heardAt) > timeout:
			l.silent, l.probedAt = true, now
		}
	}
}

// memberSum adds up the reports of the routers that report to this one.
func (s *State) memberSum() dispatch.Report {
	sum := dispatch.NewReport()
	for _, m := range s.members {
		sum.Add(m.report)
	}
	return sum
}

// domainSum is memberSum with this router's own report.
func (s *State) domainSum(own dispatch.Report) dispatch.Report {
	sum := s.memberSum()
	sum.Add(own)
	return sum
}

// elsewhereSum adds up the sums of the other failure domains.
func (s *State) elsewhereSum() dispatch.Report {
	sum := dispatch.NewReport()
	for _, d := range s.domains {
		sum.Add(d.report)
	}
	s.fromElsewhere.moveTo(&sum)
	return sum
}
