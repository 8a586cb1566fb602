package relay

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/dispatch"
)

// HandleReport records another router's own report, which asks this router for sums.
func (s *State) HandleReport(now time.Time, from string, serial uint64, status Status, r dispatch.Report) {
	s.linkTo(from).leaving = status.Leaving
	m := &member{at: now, serial: serial, status: status, report: r}
	if known := s.members[from]; known != nil {
		m.speeds = known.speeds
	}
	m.speeds.takeFrom(&m.report)
	s.members[from] = m
	s.changed = true
	s.toMembers.add(r)
	s.toDomains.add(r)
}

// Sum is the header of a sum that a relay sent.
type Sum struct {
	From   string
	Domain string
	Status Status
	// Members is the number of routers whose reports it contains, the relay's included.
	Members int
	// Applied is the serial number of this router's report in it, 0 if there is none.
	Applied uint64
	// Watch means that this router has to watch the store.
	Watch bool
}

// AcceptDomain reports whether to use a sum of this router's own failure domain.
func (s *State) AcceptDomain(now time.Time, sum Sum) bool {
	s.heard(now, sum)
	return !sum.Status.Leaving && s.accept(now, &s.ownView, sum, relayTimeout)
}

// AcceptElsewhere reports whether to use a sum of the other failure domains. It has to
// come from the relay whose sums of the own failure domain are in use.
func (s *State) AcceptElsewhere(now time.Time, sum Sum) bool {
	s.heard(now, sum)
	if sum.From != s.ownView.addr {
		return false
	}
	s.elsewhereView = source{addr: sum.From, at: now}
	return true
}

// AcceptRemote reports whether to use a sum of another failure domain. If so, its
// report has to be passed to SetRemote.
func (s *State) AcceptRemote(now time.Time, sum Sum) bool {
	s.heard(now, sum)
	d := s.domains[sum.Domain]
	if d == nil {
		d = &domainSum{}
		s.domains[sum.Domain] = d
	}
	return s.accept(now, &d.source, sum, 2*domainInterval+relayTimeout)
}

// SetRemote sets the report of another failure domain.
func (s *State) SetRemote(domain string, r dispatch.Report) {
	d := s.domains[domain]
	if d == nil {
		d = &domainSum{}
		s.domains[domain] = d
	}
	s.fromElsewhere.add(r)
	r.Placements, r.Crashes = nil, nil
	d.report = r
	d.speeds.takeFrom(&d.report)
}

// accept reports whether a sum comes from the preferred relay, and if so makes it the
// source in use. Another relay than the one in use is preferred once that one has been
// silent for timeout, or if it has a better rank and knows about as many routers.
func (s *State) accept(now time.Time, in *source, sum Sum, timeout time.Duration) bool {
	better := s.rank(sum.Domain, sum.From) < s.rank(sum.Domain, in.addr) && float64(sum.Members) >= enoughMembers*float64(in.members)
	informed := enoughMembers*float64(sum.Members) > float64(in.members)
	if in.addr != "" && in.addr != sum.From && now.Sub(in.at) <= timeout && !better && !informed {
		return false
	}
	*in = source{addr: sum.From, at: now, members: sum.Members, watch: sum.Watch}
	return true
}

// heard records that a relay has sent a sum.
func (s *State) heard(now time.Time, sum Sum) {
	l := s.linkTo(sum.From)
	l.heardAt, l.active, l.silent, l.leaving = now, true, false, sum.Status.Leaving
	if sum.Members > 0 {
		l.members = sum.Members
	}
}

// linkTo returns the link of a router and creates it if necessary.
func (s *State) linkTo(addr string) *link {
	l := s.links[addr]
	if l == nil {
		l = &link{}
		s.links[addr] = l
	}
	return l
}

// WithoutOwn takes this router's own report with a serial number out of a sum of its
// failure domain.
func (s *State) WithoutOwn(r dispatch.Report, applied uint64) dispatch.Report {
	if applied == 0 || len(s.sent) == 0 {
		return r
	}
	own := s.sent[0]
	for _, sent := range s.sent {
		if sent.serial <= applied {
			own = sent
		}
	}
	r.Sub(own.report)
	return r
}
