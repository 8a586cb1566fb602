package consul

import "sync/atomic"

// Kind is a kind of call.
type Kind int

// The kinds of call.
const (
	KindGet Kind = iota
	KindList
	KindWatch
	KindCAS
	KindDelete
	KindGrant
	KindRenew
	KindRevoke
	KindAcquire
	KindInstances
	KindRegister
	kindCount
)

var kindNames = [kindCount]string{
	KindGet:       "get",
	KindList:      "list",
	KindWatch:     "watch",
	KindCAS:       "cas",
	KindDelete:    "delete",
	KindGrant:     "grant",
	KindRenew:     "renew",
	KindRevoke:    "revoke",
	KindAcquire:   "acquire",
	KindInstances: "instances",
	KindRegister:  "register",
}

// String is the kind's name in metrics.
func (k Kind) String() string { return kindNames[k] }

// isWrite reports whether a call of this kind changes the service's state.
func (k Kind) isWrite() bool {
	switch k {
	case KindGet, KindList, KindWatch, KindInstances:
		return false
	}
	return true
}

// CallStats counts the calls of one kind by how they ended.
type CallStats struct {
	// Calls is all calls.
	Calls uint64
	// Unavailable is the calls that were certainly not carried out.
	Unavailable uint64
	// Unknown is the writes without an answer.
	Unknown uint64
}

// Stats counts the calls by kind.
type Stats [kindCount]CallStats

// Calls is the number of calls of all kinds.
func (s Stats) Calls() uint64 {
	var calls uint64
	for _, kind := range s {
		calls += kind.Calls
	}
	return calls
}

// Writes is the number of calls that change the service's state.
func (s Stats) Writes() uint64 {
	var writes uint64
	for kind, counts := range s {
		if Kind(kind).isWrite() {
			writes += counts.Calls
		}
	}
	return writes
}

type callCounter struct{ calls, unavailable, unknown atomic.Uint64 }

type callCounters [kindCount]callCounter

func (c *callCounters) snapshot() Stats {
	var stats Stats
	for kind := range c {
		stats[kind] = CallStats{
			Calls:       c[kind].calls.Load(),
			Unavailable: c[kind].unavailable.Load(),
			Unknown:     c[kind].unknown.Load(),
		}
	}
	return stats
}
