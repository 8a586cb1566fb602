// Package fair implements weighted fair queueing of organisations that wait for
// one service, based on the service each has received across the whole fleet as
// far as this router knows.
//
// Each organisation has a virtual time: the service charged to it divided by its
// share. The organisation with the least virtual time is served next (start-time
// fair queueing). The cost of a request is unknown until it ends, so an expected
// cost is charged when a slot is granted and corrected as tokens stream. An
// organisation that becomes backlogged after being idle starts at the current
// virtual time, so idleness earns no credit.
//
// All owners of a service learn of the same imbalance at about the same time. If
// each owner compensated for all of it, together they would overshoot. Each owner
// therefore compensates only for its own fraction of the fleet's slots.
package fair

import "sort"

// Queue holds the fair-queueing accounts of one service. It is not safe for
// concurrent use.
type Queue struct {
	accounts map[string]*account
	// shares holds the configured shares, by organisation; the default is 1.
	shares map[string]float64
	// localFraction is the fraction of the fleet's slots that this router grants.
	localFraction float64
	// lastPickedTime is the virtual time of the organisation picked last.
	lastPickedTime float64
}

// account is the fair-queueing state of one organisation.
type account struct {
	share float64
	// chargedTime is the virtual time without the pending cost.
	chargedTime float64
	// localService is the cost charged by this router so far. It never decreases.
	localService uint64
	// syncedService is the value of localService at the last AddRemote,
	// reportedService its value at the last report, and remoteService the cost
	// charged by other owners.
	syncedService, reportedService, remoteService uint64
	// pending is the expected remaining cost of this router's grants in flight.
	pending    uint64
	backlogged bool
	// backloggedElsewhere means that other owners reported the organisation as
	// backlogged.
	backloggedElsewhere bool
}

// New returns a queue without accounts.
func New() *Queue {
	return &Queue{accounts: make(map[string]*account), shares: make(map[string]float64), localFraction: 1}
}

// SetLocalFraction sets the fraction of the fleet's slots that this router grants,
// from 0 to 1.
func (q *Queue) SetLocalFraction(fraction float64) { q.localFraction = fraction }

// SetShare sets an organisation's share; shares below 1 count as 1. It does not
// create an account, since most organisations are idle at most owners.
func (q *Queue) SetShare(org string, share int) {
	q.shares[org] = float64(max(share, 1))
	if a := q.accounts[org]; a != nil {
		a.share = q.shares[org]
	}
}

// SetBacklogged records whether the organisation has requests waiting here. An
// organisation that becomes backlogged after being idle at all owners starts no
// earlier than the current virtual time.
func (q *Queue) SetBacklogged(org string, waiting bool) {
	a := q.account(org)
	if waiting && !a.backlogged && !a.backloggedElsewhere {
		if behind := q.currentVirtualTime() - a.virtualTime(); behind > 0 {
			a.chargedTime += behind
		}
	}
	a.backlogged = waiting
}

// currentVirtualTime returns the least virtual time of the backlogged
// organisations, or that of the organisation picked last if none is backlogged.
func (q *Queue) currentVirtualTime() float64 {
	least, any := q.lastPickedTime, false
	for _, a := range q.accounts {
		if v := a.virtualTime(); a.backlogged && (!any || v < least) {
			least, any = v, true
		}
	}
	return least
}

// Candidate is an organisation with a request that can be served now.
type Candidate struct {
	Organisation string
	// Lead is the cost by which the organisation may be ahead of the others and
	// still be picked first.
	Lead uint64
}

// Pick returns the candidate with the least virtual time after subtracting its
// lead, or "" if there are no candidates. Ties are broken by name.
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

// AddPending adds the expected cost of a new grant to the organisation's pending cost.
func (q *Queue) AddPending(org string, cost uint64) { q.account(org).pending += cost }

// Charge records progress of a grant: cost is the additional service used, and
// rest the expected cost of the grant that was still pending. It moves cost from
// pending to charged and returns what is left of rest.
func (q *Queue) Charge(org string, cost, rest uint64) uint64 {
	a := q.account(org)
	a.localService += cost
	a.chargedTime += float64(cost) / a.share
	used := min(cost, rest)
	a.pending -= min(used, a.pending)
	return rest - used
}

// ReleasePending removes the unused rest of an expected cost when a grant ends.
func (q *Queue) ReleasePending(org string, rest uint64) {
	a := q.account(org)
	a.pending -= min(rest, a.pending)
}

// AddRemote records the cost that other owners charged since the previous call.
// The local service charged since then counted in full until now; from here on
// only this router's fraction of the local and remote cost counts.
func (q *Queue) AddRemote(org string, cost uint64) {
	a := q.account(org)
	recent := float64(a.localService - a.syncedService)
	a.chargedTime += (q.localFraction*(recent+float64(cost)) - recent) / a.share
	a.syncedService = a.localService
	a.remoteService += cost
}

// Report returns the accounts of the backlogged organisations and, if all is set,
// also those that were charged here since they were last reported.
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

// SetBackloggedElsewhere records whether other owners report the organisation as
// backlogged.
func (q *Queue) SetBackloggedElsewhere(org string, waiting bool) {
	q.account(org).backloggedElsewhere = waiting
}

// LocalService returns the service charged by this router; it never decreases.
func (q *Queue) LocalService(org string) uint64 { return q.account(org).localService }

// Backlogged reports whether the organisation has requests waiting here.
func (q *Queue) Backlogged(org string) bool { return q.account(org).backlogged }

// Account is a snapshot of an organisation's account, for reports and operators.
type Account struct {
	Organisation  string  `json:"organisation"`
	Share         float64 `json:"share"`
	LocalService  uint64  `json:"own"`
	Pending       uint64  `json:"pending"`
	RemoteService uint64  `json:"remote"`
	VirtualTime   float64 `json:"virtual"`
	Backlogged    bool    `json:"backlogged"`
}

// Accounts returns all accounts, sorted by organisation.
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
		Organisation: org, Share: a.share, LocalService: a.localService, Pending: a.pending, RemoteService: a.remoteService,
		VirtualTime: a.virtualTime(), Backlogged: a.backlogged,
	}
}

// virtualTime returns chargedTime plus the pending cost divided by the share.
func (a *account) virtualTime() float64 {
	return a.chargedTime + float64(a.pending)/a.share
}
