// Package fair orders the organisations that wait for one service by the
// service they have received for their share, across the whole fleet as far as
// it is known here.
//
// Each organisation has a virtual time: the service charged to it divided by its
// share. The organisation with the least virtual time is served next (start-time
// fair queueing). The cost of a request is unknown until it ends, so an expected
// cost is charged when a slot is granted and corrected as tokens stream; an
// organisation that was idle starts at the present virtual time, so idleness
// earns no credit.
//
// All owners of a service learn of the same imbalance at about the same time. If
// each made up for the whole of it they would overshoot together, so an owner
// makes up for its own part: the fraction of the fleet's slots that it grants.
package fair

import "sort"

// Queue holds the accounts of one service. It is not safe for concurrent use.
type Queue struct {
	accounts map[string]*account
	// shares are those of the organisations that differ from 1.
	shares map[string]float64
	// localFraction is the fraction of the fleet's slots that is granted here.
	localFraction float64
	// lastPickedTime is the virtual time of the last organisation picked.
	lastPickedTime float64
}

type account struct {
	share float64
	// chargedTime is the virtual time of what was charged.
	chargedTime float64
	// localService is what was charged here so far, settled or streamed; monotonic.
	localService uint64
	// syncedService is own at the last word on what others charged, reported at the last
	// report, and remote what others charged.
	syncedService, reportedService, remoteService uint64
	// pending is the expected rest of the grants in flight here.
	pending    uint64
	backlogged bool
	// backloggedElsewhere means that other owners saw the organisation backlogged.
	backloggedElsewhere bool
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{accounts: make(map[string]*account), shares: make(map[string]float64), localFraction: 1}
}

// SetPart sets the fraction of the fleet's slots that is granted here, 0 to 1.
func (q *Queue) SetPart(part float64) { q.localFraction = part }

// SetShare sets an organisation's share; shares under 1 count as 1. It makes no
// account: most organisations are idle at most owners.
func (q *Queue) SetShare(org string, share int) {
	q.shares[org] = float64(max(share, 1))
	if a := q.accounts[org]; a != nil {
		a.share = q.shares[org]
	}
}

// SetBacklogged reports whether the organisation has requests waiting here. One
// that becomes backlogged after being idle everywhere starts at the present
// virtual time at the earliest.
func (q *Queue) SetBacklogged(org string, waiting bool) {
	a := q.account(org)
	if waiting && !a.backlogged && !a.backloggedElsewhere {
		if behind := q.currentVirtualTime() - a.virtualTime(); behind > 0 {
			a.chargedTime += behind
		}
	}
	a.backlogged = waiting
}

// currentVirtualTime is the present virtual time: the least of those that wait, or the last
// one served if none does.
func (q *Queue) currentVirtualTime() float64 {
	least, any := q.lastPickedTime, false
	for _, a := range q.accounts {
		if v := a.virtualTime(); a.backlogged && (!any || v < least) {
			least, any = v, true
		}
	}
	return least
}

// Candidate is an organisation with work that could be served now.
type Candidate struct {
	Organisation string
	// Lead is the cost by which the organisation may be ahead and still go first.
	Lead uint64
}

// Pick returns the organisation with the least virtual time, less its lead, among
// the candidates, "" if there are none. Ties go to the first in order of name.
func (q *Queue) Pick(candidates []Candidate) string {
	var best string
	var least float64
	for _, c := range candidates {
		a := q.account(c.Organisation)
		v := a.virtualTime() - float64(c.Lead)/a.share
		if best == "" || v < least || (v == least && c.Organisation < best) {
			best, least = c.Organisation, v
		}
	}
	if best != "" {
		q.lastPickedTime = q.account(best).virtualTime()
	}
	return best
}

// Expect charges the expected cost of a grant in advance.
func (q *Queue) Expect(org string, cost uint64) { q.account(org).pending += cost }

// Charge moves a grant's progress from expected to charged: cost more was
// used, of which up to rest had been expected. It returns what is left of the
// expectation.
func (q *Queue) Charge(org string, cost, rest uint64) uint64 {
	a := q.account(org)
	a.localService += cost
	a.chargedTime += float64(cost) / a.share
	used := min(cost, rest)
	a.pending -= min(used, a.pending)
	return rest - used
}

// Settle gives back the rest of an expectation that was not used.
func (q *Queue) Settle(org string, rest uint64) {
	a := q.account(org)
	a.pending -= min(rest, a.pending)
}

// AddRemote takes what other owners charged since the last word. From now on
// this owner's part of all that was charged counts, its own service since then
// included.
func (q *Queue) AddRemote(org string, cost uint64) {
	a := q.account(org)
	recent := float64(a.localService - a.syncedService)
	a.chargedTime += (q.localFraction*(recent+float64(cost)) - recent) / a.share
	a.syncedService = a.localService
	a.remoteService += cost
}

// Report returns the organisations that wait here and, if all is set, those that
// were charged here since they were last reported.
func (q *Queue) Report(all bool) []Account {
	var out []Account
	for org, a := range q.accounts {
		if a.backlogged || (all && a.localService != a.reportedService) {
			a.reportedService = a.localService
			out = append(out, a.snapshot(org))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Organisation < out[j].Organisation })
	return out
}

// SetElsewhere reports whether other owners see the organisation backlogged.
func (q *Queue) SetElsewhere(org string, waiting bool) { q.account(org).backloggedElsewhere = waiting }

// Own returns the service charged here; it never falls.
func (q *Queue) Own(org string) uint64 { return q.account(org).localService }

// Backlogged reports whether the organisation has requests waiting here.
func (q *Queue) Backlogged(org string) bool { return q.account(org).backlogged }

// Account is an organisation's account as operators see it.
type Account struct {
	Organisation string  `json:"organisation"`
	Share        float64 `json:"share"`
	Own          uint64  `json:"own"`
	Pending      uint64  `json:"pending"`
	Remote       uint64  `json:"remote"`
	Virtual      float64 `json:"virtual"`
	Backlogged   bool    `json:"backlogged"`
}

// Accounts lists all accounts by name.
func (q *Queue) Accounts() []Account {
	out := make([]Account, 0, len(q.accounts))
	for org, a := range q.accounts {
		out = append(out, a.snapshot(org))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Organisation < out[j].Organisation })
	return out
}

func (q *Queue) account(org string) *account {
	a := q.accounts[org]
	if a == nil {
		a = &account{share: 1}
		if share, ok := q.shares[org]; ok {
			a.share = share
		}
		q.accounts[org] = a
	}
	return a
}

func (a *account) snapshot(org string) Account {
	return Account{
		Organisation: org, Share: a.share, Own: a.localService, Pending: a.pending, Remote: a.remoteService,
		Virtual: a.virtualTime(), Backlogged: a.backlogged,
	}
}

func (a *account) virtualTime() float64 {
	return a.chargedTime + float64(a.pending)/a.share
}
