// Package fair orders the organisations that wait for one service by the
// service they have received for their share, across the whole fleet as far as
// it is known here.
//
// Each organisation has a virtual time: the service charged to it, here and
// elsewhere, divided by its share. The organisation with the least virtual time
// is served next (start-time fair queueing). The cost of a request is unknown
// until it ends, so an expected cost is charged when a slot is granted and
// corrected as tokens stream; an organisation that was idle starts at the
// present virtual time, so idleness earns no credit.
package fair

import "sort"

// Queue holds the accounts of one service. It is not safe for concurrent use.
type Queue struct {
	accounts map[string]*account
	// shares are those of the organisations that differ from 1.
	shares map[string]float64
	// now is the virtual time of the last organisation picked; it never falls.
	now float64
}

type account struct {
	share float64
	// own is what owners here charged, settled or streamed so far; monotonic.
	own uint64
	// pending is the expected rest of the grants in flight here.
	pending uint64
	// remote is what other owners charged since this queue began to listen.
	remote uint64
	// lift stands for credit given up while idle, in virtual time.
	lift       float64
	backlogged bool
	// elsewhere tells that other owners saw the organisation backlogged.
	elsewhere bool
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{accounts: make(map[string]*account), shares: make(map[string]float64)}
}

// SetShare sets an organisation's share; shares under 1 count as 1. It makes no
// account: most organisations are idle at most owners.
func (q *Queue) SetShare(org string, share int) {
	q.shares[org] = float64(max(share, 1))
	if a := q.accounts[org]; a != nil {
		a.share = q.shares[org]
	}
}

// SetBacklogged tells whether the organisation has requests waiting here. One
// that becomes backlogged after being idle everywhere starts at the present
// virtual time at the earliest.
func (q *Queue) SetBacklogged(org string, waiting bool) {
	a := q.account(org)
	if waiting && !a.backlogged && !a.elsewhere {
		if behind := q.now - a.virtual(); behind > 0 {
			a.lift += behind
		}
	}
	a.backlogged = waiting
}

// Pick returns the organisation with the least virtual time among the
// candidates, "" if there are none. Ties go to the first in order of name.
func (q *Queue) Pick(candidates []string) string {
	sort.Strings(candidates)
	var best string
	var least float64
	for _, org := range candidates {
		v := q.account(org).virtual()
		if best == "" || v < least {
			best, least = org, v
		}
	}
	if best != "" {
		q.now = max(q.now, least)
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
	a.own += cost
	used := min(cost, rest)
	a.pending -= min(used, a.pending)
	return rest - used
}

// Settle gives back the rest of an expectation that was not used.
func (q *Queue) Settle(org string, rest uint64) {
	a := q.account(org)
	a.pending -= min(rest, a.pending)
}

// AddRemote adds service that other owners gave.
func (q *Queue) AddRemote(org string, cost uint64) { q.account(org).remote += cost }

// SetElsewhere tells whether other owners see the organisation backlogged.
func (q *Queue) SetElsewhere(org string, waiting bool) { q.account(org).elsewhere = waiting }

// Own returns the service charged here; it never falls.
func (q *Queue) Own(org string) uint64 { return q.account(org).own }

// Backlogged tells whether the organisation has requests waiting here.
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
		out = append(out, Account{org, a.share, a.own, a.pending, a.remote, a.virtual(), a.backlogged})
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

func (a *account) virtual() float64 {
	return float64(a.own+a.pending+a.remote)/a.share + a.lift
}
