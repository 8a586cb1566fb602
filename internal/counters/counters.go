// Package counters exchanges service counters between the owners of upstreams, so
// that fair shares hold across the fleet. Each organisation has one aggregator
// among the live routers, chosen by rendezvous hashing. Owners report their
// absolute counters of backlogged organisations to it and get back the totals of
// the fleet.
//
// An owner uses only the growth of the totals. When the aggregator changes or
// its total falls, it takes the new total as the baseline. So a restart of any
// router without state loses at most the service of about one ReportInterval.
package counters

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/placement"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// ReportInterval is the time between two reports.
	ReportInterval = time.Second
	// reportTTL is how long a reporter's counters are kept after its last
	// report.
	reportTTL = 10 * time.Minute
	// backlogTTL is how long a report that an organisation is backlogged is valid.
	backlogTTL = 3 * ReportInterval
)

// Key identifies the account of an organisation with a service.
type Key struct{ Service, Organisation string }

// RemoteService is the service that other owners gave to an organisation since the last
// total.
type RemoteService struct {
	Key
	// Cost is the amount of that service, in the service's unit.
	Cost uint64
	// Backlogged means that another owner reports the organisation as backlogged.
	Backlogged bool
}

// State is one router's state of the exchange, as a reporter and as an
// aggregator.
type State struct {
	self core.RouterID
	// lastTotals holds, per account, the last total from its aggregator.
	lastTotals map[Key]lastTotal
	// reports holds, per account aggregated here, the last report of each router.
	reports    map[Key]map[core.RouterID]report
	nextReport time.Time
}

// lastTotal is a total received from an aggregator.
type lastTotal struct {
	aggregator core.RouterID
	total      uint64
	// own is this router's own counter when the total was received.
	own uint64
}

// report is the last report of one router about an account.
type report struct {
	served     uint64
	backlogged bool
	at         time.Time
}

// New returns an empty state.
func New(self core.RouterID) *State {
	return &State{
		self:       self,
		lastTotals: make(map[Key]lastTotal),
		reports:    make(map[Key]map[core.RouterID]report),
	}
}

// Due reports whether the next report is due.
func (s *State) Due(now time.Time) bool { return !now.Before(s.nextReport) }

// Wake returns when the next report is due.
func (s *State) Wake() time.Time { return s.nextReport }

// Report returns the effects that send this router's counters to the aggregators
// of their organisations. For organisations that this router aggregates itself,
// it returns the service of other owners at once.
func (s *State) Report(now time.Time, reported []*wire.Counter, alive []core.RouterID, ownCounter OwnCounter) ([]core.Effect, []RemoteService) {
	s.nextReport = now.Add(ReportInterval)
	batches := make(map[core.RouterID][]*wire.Counter)
	var order []core.RouterID
	for _, c := range reported {
		to := placement.Pick(c.Organisation, alive)
		if len(batches[to]) == 0 {
			order = append(order, to)
		}
		batches[to] = append(batches[to], c)
	}
	var effects []core.Effect
	var remotes []RemoteService
	for _, to := range order {
		if to == s.self {
			totals := s.MergeReport(now, s.self, batches[to])
			remotes = append(remotes, s.HandleTotals(s.self, totals, ownCounter)...)
			continue
		}
		effects = append(effects, core.SendPeer{To: to, Message: &wire.Envelope{Body: &wire.Envelope_CounterReport{
			CounterReport: &wire.CounterReport{Counters: batches[to]},
		}}})
	}
	s.expireReports(now)
	return effects, remotes
}

// MergeReport adds a router's report at the aggregator and returns the totals of the
// reported accounts. Late and duplicate reports are harmless, since a counter
// never decreases.
func (s *State) MergeReport(now time.Time, from core.RouterID, counters []*wire.Counter) []*wire.Counter {
	totals := make([]*wire.Counter, 0, len(counters))
	for _, c := range counters {
		account := Key{c.Service, c.Organisation}
		if s.reports[account] == nil {
			s.reports[account] = make(map[core.RouterID]report)
		}
		served := max(c.Served, s.reports[account][from].served)
		s.reports[account][from] = report{served: served, backlogged: c.Backlogged, at: now}
		totals = append(totals, s.sumAccount(now, account, from))
	}
	return totals
}

// sumAccount returns an account's total over all reporters. Its Backlogged tells
// whether any other router than the given reporter sees a backlog.
func (s *State) sumAccount(now time.Time, account Key, reporter core.RouterID) *wire.Counter {
	t := &wire.Counter{Service: account.Service, Organisation: account.Organisation}
	for id, r := range s.reports[account] {
		t.Served += r.served
		if id != reporter && r.backlogged && now.Sub(r.at) < backlogTTL {
			t.Backlogged = true
		}
	}
	return t
}

// OwnCounter returns this router's current counter of an account.
type OwnCounter func(service, organisation string) uint64

// HandleTotals handles the totals from an aggregator and returns the service of other
// owners since the previous totals.
func (s *State) HandleTotals(from core.RouterID, totals []*wire.Counter, ownCounter OwnCounter) []RemoteService {
	out := make([]RemoteService, 0, len(totals))
	for _, t := range totals {
		account := Key{t.Service, t.Organisation}
		last, ok := s.lastTotals[account]
		current := lastTotal{aggregator: from, total: t.Served, own: ownCounter(t.Service, t.Organisation)}
		s.lastTotals[account] = current
		r := RemoteService{Key: account, Backlogged: t.Backlogged}
		if ok && last.aggregator == from && current.total >= last.total {
			growth := current.total - last.total
			// The growth of this router's own counter is not remote service.
			r.Cost = growth - min(growth, current.own-min(current.own, last.own))
		}
		out = append(out, r)
	}
	return out
}

// Accounts returns the number of accounts that are aggregated here.
func (s *State) Accounts() int { return len(s.reports) }

// expireReports removes the reports that are older than reportTTL.
func (s *State) expireReports(now time.Time) {
	for account, byRouter := range s.reports {
		for id, r := range byRouter {
			if now.Sub(r.at) > reportTTL {
				delete(byRouter, id)
			}
		}
		if len(byRouter) == 0 {
			delete(s.reports, account)
		}
	}
}
