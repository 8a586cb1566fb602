package consul

import "sync/atomic"

// Kind is the kind of a call: the operation that it performs.
type Kind int

// The kinds of calls.
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

// String returns the kind's name in metrics and error texts.
func (k Kind) String() string { return kindNames[k] }

// isWrite reports whether a call of this kind changes the service's state.
func (k Kind) isWrite() bool {
	switch k {
	case KindGet, KindList, KindWatch, KindInstances:
		return false
	}
	return true
}

// CallStats counts the calls of one kind by outcome.
type CallStats struct {
	// Calls counts all calls.
	Calls uint64
	// Unavailable counts the calls that failed without an effect.
	Unavailable uint64
	// Unknown counts the writes of which it is not known whether they were
	// executed.
	Unknown uint64
}

// Stats counts calls by kind; it is indexed by Kind.
type Stats [kindCount]CallStats

// Calls returns the number of calls of all kinds.
func (s Stats) Calls() uint64 {
	var calls uint64
	for _, kind := range s {
		calls += kind.Calls
	}
	return calls
}

// Writes returns the number of calls that change the service's state.
func (s Stats) Writes() uint64 {
	var writes uint64
	for kind, counts := range s {
		if Kind(kind).isWrite() {
			writes += counts.Calls
		}
	}
	return writes
}

// callCounter is the concurrent form of CallStats.
type callCounter struct{ calls, unavailable, unknown atomic.Uint64 }

// callCounters is the concurrent form of Stats.
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
