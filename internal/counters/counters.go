// Package counters exchanges service counters between owners, so that fairness
// holds across the fleet. Each organisation has one aggregator among the live
// routers (rendezvous hashing); owners report their absolute counters of
// backlogged organisations to it and get the fleet's totals back.
//
// An owner adds up the growth of the totals only, and starts afresh when the
// aggregator changes or its total falls. So a restart without memory anywhere
// loses at most what was served in about one period.
package counters

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
	"github.com/jujubeford/jujubeford/internal/placement"
	"github.com/jujubeford/jujubeford/internal/wire"
)

const (
	// Period is the time between two reports.
	Period = time.Second
	// reportTTL is how long a reporter's counters are kept after its last
	// report.
	reportTTL = 10 * time.Minute
	// backlogTTL is how long a report of backlog counts.
	backlogTTL = 3 * Period
)

// Key names one account.
type Key struct{ Service, Organisation string }

// Remote is growth of service that other owners gave to an organisation.
type Remote struct {
	Key
	Cost uint64
	// Backlogged means that another owner sees the organisation backlogged.
	Backlogged bool
}

// State is one router's part of the exchange, as reporter and as aggregator.
type State struct {
	self core.RouterID
	// lastTotals is the last total from the aggregator, per account.
	lastTotals map[Key]lastTotal
	// reports are the counters that reporters sent here.
	reports    map[Key]map[core.RouterID]report
	nextReport time.Time
}

type lastTotal struct {
	aggregator core.RouterID
	total      uint64
	own        uint64
}

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

// Due reports whether it is time to report.
func (s *State) Due(now time.Time) bool { return !now.Before(s.nextReport) }

// Wake is when the next report is due.
func (s *State) Wake() time.Time { return s.nextReport }

// Report sends own counters to the aggregators of their organisations. What this
// router aggregates itself is returned at once.
func (s *State) Report(now time.Time, reported []*wire.Counter, alive []core.RouterID, ownCounter OwnCounter) ([]core.Effect, []Remote) {
	s.nextReport = now.Add(Period)
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
	var remotes []Remote
	for _, to := range order {
		if to == s.self {
			totals := s.Merge(now, s.self, batches[to])
			remotes = append(remotes, s.Totals(s.self, totals, ownCounter)...)
			continue
		}
		effects = append(effects, core.SendPeer{To: to, Message: &wire.Envelope{Body: &wire.Envelope_CounterReport{
			CounterReport: &wire.CounterReport{Counters: batches[to]},
		}}})
	}
	s.expireReports(now)
	return effects, remotes
}

// Merge takes a reporter's counters as aggregator and returns the totals. Late
// and doubled reports are harmless: a counter never falls.
func (s *State) Merge(now time.Time, from core.RouterID, counters []*wire.Counter) []*wire.Counter {
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

// sumAccount sums an account; Backlogged is about reporters other than the asker.
func (s *State) sumAccount(now time.Time, account Key, asker core.RouterID) *wire.Counter {
	t := &wire.Counter{Service: account.Service, Organisation: account.Organisation}
	for id, r := range s.reports[account] {
		t.Served += r.served
		if id != asker && r.backlogged && now.Sub(r.at) < backlogTTL {
			t.Backlogged = true
		}
	}
	return t
}

// OwnCounter returns this router's present counter of an account.
type OwnCounter func(service, organisation string) uint64

// Totals takes an aggregator's answer and returns what others served since the
// last one.
func (s *State) Totals(from core.RouterID, totals []*wire.Counter, ownCounter OwnCounter) []Remote {
	out := make([]Remote, 0, len(totals))
	for _, t := range totals {
		account := Key{t.Service, t.Organisation}
		last, ok := s.lastTotals[account]
		current := lastTotal{aggregator: from, total: t.Served, own: ownCounter(t.Service, t.Organisation)}
		s.lastTotals[account] = current
		r := Remote{Key: account, Backlogged: t.Backlogged}
		if ok && last.aggregator == from && current.total >= last.total {
			growth := current.total - last.total
			// What this router itself added is in its own counter already.
			r.Cost = growth - min(growth, current.own-min(current.own, last.own))
		}
		out = append(out, r)
	}
	return out
}

// Accounts is the number of accounts aggregated here.
func (s *State) Accounts() int { return len(s.reports) }

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
