package orders

import (
	"time"

	"github.com/jujubeford/jujubeford/internal/core"
)

const (
	// LeaseTTL is how long a lease lasts after its last renewal. The key-value
	// service accepts no TTL below ten seconds.
	LeaseTTL = 15 * time.Second
	// MaxLeaseFactor bounds how long the service may let a lease last after its
	// last renewal, as a multiple of its TTL.
	MaxLeaseFactor = 2
	// OrderTimeout is how long after the start of an order its answer is awaited.
	OrderTimeout = 3 * time.Second
	// ClockMargin is by how much two clocks may differ in measuring a time as long
	// as TakeoverDelay.
	ClockMargin = time.Second
	// HoldPeriod is how long after the request of a successful renewal the holder
	// may start orders.
	HoldPeriod = LeaseTTL - OrderTimeout - ClockMargin
	// TakeoverDelay is how long a new holder waits before it orders engines that
	// ignore the fencing token. After that, no order of an earlier holder can be
	// in flight.
	TakeoverDelay = MaxLeaseFactor*LeaseTTL + OrderTimeout + ClockMargin

	// renewInterval is the time between renewals.
	renewInterval = 5 * time.Second
	// acquireInterval is the time between attempts to acquire the lease while
	// another router holds it, and between reads of an invalid counter.
	acquireInterval = 10 * time.Second
	// callRetryDelay is the pause before the next key-value call after a failed
	// call, a lost compare-and-swap of the counter, the end of the lease or a step
	// down.
	callRetryDelay = 2 * time.Second
	// readInterval is the time between reads of an engine in its desired state.
	// orderRetryDelay is the time until an engine is read again whose read or
	// order did not succeed.
	readInterval    = 30 * time.Second
	orderRetryDelay = 2 * time.Second

	// maxFencingToken bounds the fencing tokens that are accepted as valid, so
	// that a corrupt one cannot exhaust the range of tokens.
	maxFencingToken = 1 << 53
)

// NameLoad is the name of the orders that set which models or adapters an engine
// has loaded.
const NameLoad = "load"

const (
	leasePrefix          = "jujubeford/orders/"
	fencingCounterPrefix = "jujubeford/fencing/"
)

// LeaseKey returns the key whose lease is held by the router that gives a failure
// domain's orders.
func LeaseKey(domain string) string { return leasePrefix + domain }

// FencingCounterKey returns the key of a failure domain's fencing counter, which
// holds the last token taken.
func FencingCounterKey(domain string) string { return fencingCounterPrefix + domain }

// opSpace is the high part of this package's operation ids, which keeps them
// apart from those of other packages.
const opSpace = core.OpID(2) << 56
